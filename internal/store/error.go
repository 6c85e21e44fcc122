package store

import (
	"errors"
	"fmt"
	"syscall"
)

// Kind is the kind of a disk error, as shown to operators.
type Kind string

// The kinds of disk errors.
const (
	// Full means that the file system has no space left.
	Full Kind = "DiskFull"
	// ReadOnly means that the file system refuses writes.
	ReadOnly Kind = "DiskReadOnly"
	// Corrupt means that stored data does not match its checksum.
	Corrupt Kind = "DiskCorrupt"
	// SlowSync means that a sync took longer than Config.SlowSync.
	SlowSync Kind = "DiskSlow"
	// Failed means that an operation failed for any other reason.
	Failed Kind = "DiskFailed"
	// Broken means that the store rejects the write because an earlier write
	// or sync failed, or because the store is closed.
	Broken Kind = "DiskBroken"
	// InUse means that another process has locked the data folder.
	InUse Kind = "DiskInUse"
)

var remedies = map[Kind]string{
	Full:     "free space on the file system of the data folder; the host goes on by itself",
	ReadOnly: "make the file system of the data folder writable, or move the host to another disk and replace the member",
	Corrupt:  "empty the data folder and replace the member; the other members keep the data",
	SlowSync: "move the data folder to a faster or less busy disk",
	Failed:   "check the disk and the permissions of the data folder",
	Broken:   "repair the fault reported before; the data folder must be opened anew",
	InUse:    "stop the other process that uses this data folder, or choose another folder",
}

// Error is a disk error. Its message includes the remedy.
type Error struct {
	Kind Kind
	// Path is the affected file or folder.
	Path string
	// Detail describes the failed operation or the corruption found.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns the kind, path, detail, cause and remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: %s: %s", e.Kind, e.Path, e.Detail)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg + ": " + e.Remedy()
}

// Remedy returns the action for the operator.
func (e *Error) Remedy() string { return remedies[e.Kind] }

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// wrapError wraps a file system error and derives its kind from the errno.
func wrapError(path, detail string, err error) *Error {
	kind := Failed
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		kind = Full
	case errors.Is(err, syscall.EROFS):
		kind = ReadOnly
	case errors.Is(err, syscall.EWOULDBLOCK):
		kind = InUse
	}
	return &Error{
		Kind:   kind,
		Path:   path,
		Detail: detail,
		Cause:  err,
	}
}

func corruptError(path, detail string, cause error) *Error {
	return &Error{
		Kind:   Corrupt,
		Path:   path,
		Detail: detail,
		Cause:  cause,
	}
}
