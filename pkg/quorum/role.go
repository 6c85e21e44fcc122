package quorum

import "github.com/pkg/errors"

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Role) UnmarshalText(text []byte) error {
	for i, name := range roleNames {
		if name == string(text) {
			*r = Role(i)
			return nil
		}
	}
	return errors.Errorf("role %q does not exist: run the same release on all hosts", text)
}
