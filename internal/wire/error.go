package wire

import (
	"fmt"
	"net/http"
)

// ErrorKind classifies what is wrong with a body or header.
type ErrorKind string

// The kinds of decoding errors.
const (
	TooLarge     ErrorKind = "TooLarge"
	BadSyntax    ErrorKind = "BadSyntax"
	UnknownField ErrorKind = "UnknownField"
	BadValue     ErrorKind = "BadValue"
	ReadFailed   ErrorKind = "ReadFailed" // the connection failed before the body was complete
)

// Error is the error of every decoder of this package.
type Error struct {
	Kind ErrorKind
	// Body is the name of the type that was decoded.
	Body string
	// Field is the invalid field or header, or empty if the error is not about
	// a single field.
	Field string
	// Problem says what is wrong, Remedy what the sender can do.
	Problem string
	Remedy  string
	Cause   error
}

// Error names the body, the field, the problem and the remedy.
func (e *Error) Error() string {
	subject := e.Body
	if e.Field != "" {
		subject += "." + e.Field
	}
	return fmt.Sprintf("%s %s: %s", subject, e.Problem, e.Remedy)
}

// Unwrap returns the underlying error, if any.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status for the sender of the body: 413 if it is too
// large, else 400.
func (e *Error) Status() int {
	if e.Kind == TooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func badValue(body, field, problem, remedy string) *Error {
	return &Error{
		Kind:    BadValue,
		Body:    body,
		Field:   field,
		Problem: problem,
		Remedy:  remedy,
	}
}

func quote(value string) string {
	if len(value) > maxQuotedBytes {
		value = value[:maxQuotedBytes] + "..."
	}
	return fmt.Sprintf("%q", value)
}
