// Package preset defines the named sets of query limits that an operator
// switches between, such as those for ordinary load, peak load and maintenance.
// Exactly one preset is active at a time. A query keeps the preset that was
// active when it arrived.
package preset

import "github.com/pkg/errors"

// Class is the priority class of a request. Lower values are more important.
type Class uint8

// The classes, the most important first.
const (
	Critical Class = iota
	Standard
	Tolerant
)

// Classes lists all classes in the order of their importance.
var Classes = [...]Class{Critical, Standard, Tolerant}

var classNames = [...]string{"Critical", "Standard", "Tolerant"}

// String returns the name of the class in presets, messages and headers, or
// "Unknown" for an undefined class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "Unknown"
}

// ParseClass returns the class with the given name, which is case-sensitive. The
// class that comes with an error is Tolerant, the least important.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return Tolerant, errors.Errorf("class %q does not exist: use Critical, Standard or Tolerant", name)
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}
