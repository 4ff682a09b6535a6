package intent

import "github.com/cockroachdb/errors"

// MarshalText returns the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses a kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	for _, kind := range []Kind{Model, Plain} {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return errors.Newf("intent: kind is %q, want model or plain", text)
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for _, state := range []State{Active, Drained} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return errors.Newf("intent: state is %q, want active or drained", text)
}

func asError[T error](err error, target *T) bool { return errors.As(err, target) }
