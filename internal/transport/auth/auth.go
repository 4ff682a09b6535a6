/*
Package auth checks the bearer tokens of processes and operators.

A token is read from a file, is never logged, and is compared in constant
time. The processes of a system share one token; operators have another.
*/
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// MinTokenBytes is the minimum length of a token that [Load] accepts.
const MinTokenBytes = 16

const bearerPrefix = "Bearer "

// Token is a shared secret. Its String method does not reveal it.
type Token struct {
	secret string
}

// New returns a token with a secret, whose length is not checked.
func New(secret string) Token { return Token{secret: secret} }

// Load reads a token from a file; surrounding white space is removed. Errors are
// of kind BadSettings.
func Load(path string) (Token, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Token{}, fault.Wrap(err, fault.BadSettings, "token file %s cannot be read", path)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < MinTokenBytes {
		return Token{}, fault.New(fault.BadSettings, "token file %s holds %d bytes, at least %d are needed", path, len(secret), MinTokenBytes)
	}
	return Token{secret: secret}, nil
}

// String returns a placeholder, so that the secret does not reach logs.
func (t Token) String() string { return "[token]" }

// Check reports whether a request carries the token. An empty token matches no
// request.
func (t Token) Check(r *http.Request) bool {
	got, ok := Bearer(r)
	if !ok || t.secret == "" {
		return false
	}
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(t.secret))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// Bearer returns the bearer token of a request, and false if it has none.
func Bearer(r *http.Request) (string, bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// Require calls next for requests that carry one of the tokens, and answers all
// others with 401.
func Require(next http.Handler, tokens ...Token) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, t := range tokens {
			if t.Check(r) {
				next.ServeHTTP(w, r)
				return
			}
		}
		http.Error(w, `{"code":"unauthenticated","msg":"no valid token","meta":{"kind":"unauthenticated","ran":"no"}}`, http.StatusUnauthorized)
	})
}

// Client is an http.RoundTripper that adds the token to each request.
type Client struct {
	Token Token
	Base  http.RoundTripper
}

// RoundTrip sends a copy of the request with the token through Base.
func (c Client) RoundTrip(r *http.Request) (*http.Response, error) {
	out := r.Clone(r.Context())
	out.Header.Set("Authorization", bearerPrefix+c.Token.secret)
	return c.Base.RoundTrip(out)
}
