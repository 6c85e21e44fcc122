// Package preset defines the documents that set how queries are treated on
// ordinary days, at peaks and during maintenance. Exactly one preset is in
// force at a time; a query runs under one preset from start to end.
package preset

import "github.com/pkg/errors"

// Class is the priority class of a request. Lower values are more important.
type Class uint8

// The classes in falling order of importance.
const (
	Critical Class = iota
	Standard
	Tolerant
)

// Classes lists all classes, the most important first.
var Classes = [...]Class{Critical, Standard, Tolerant}

var classNames = [...]string{"Critical", "Standard", "Tolerant"}

// String returns the name used in documents and headers.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "Unknown"
}

// ParseClass returns the class with the given name.
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
