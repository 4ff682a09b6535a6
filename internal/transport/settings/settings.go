/*
Package settings reads the TOML settings file of a process.

Each role has a plain struct with a Check method. [Load] rejects unknown fields
and reports every problem with file, field and reason, so that a process with an
invalid file fails at its start and not later.

	cfg, err := settings.Load("entry.toml", entry.DefaultSettings())
*/
package settings

import (
	"bytes"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Checker is a settings struct that validates itself. Check returns one line per
// problem, "field: reason".
type Checker interface {
	Check() []string
}

// Load reads a file; fields that it does not set keep their defaults. Errors are
// of kind BadSettings.
func Load[T Checker](path string, defaults T) (T, error) {
	out := defaults
	data, err := os.ReadFile(path)
	if err != nil {
		return out, fault.Wrap(err, fault.BadSettings, "%s: settings file cannot be read", path)
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&out); err != nil {
		return out, fault.Wrap(err, fault.BadSettings, "%s: %s", path, describe(err))
	}
	if problems := out.Check(); len(problems) > 0 {
		return out, fault.New(fault.BadSettings, "%s: %s", path, strings.Join(problems, "; "))
	}
	return out, nil
}

// Print returns the effective settings as TOML.
func Print(v any) (string, error) {
	data, err := toml.Marshal(v)
	return string(data), errors.Wrap(err, "settings: print")
}

func describe(err error) string {
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		return "unknown field:\n" + strict.String()
	case errors.As(err, &decode):
		return decode.String()
	}
	return err.Error()
}

// Duration is a time.Duration written as "250ms" or "3s".
type Duration struct {
	time.Duration
}

// MarshalText returns the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return errors.Wrap(err, "settings: duration")
}
