package store

import (
	"errors"
	"fmt"
	"syscall"
)

// Kind is the kind of a disk fault.
type Kind string

// The kinds of fault.
const (
	// Full means that the file system has no space left.
	Full Kind = "DiskFull"
	// ReadOnly means that the file system refuses writes.
	ReadOnly Kind = "DiskReadOnly"
	// Corrupt means that stored data does not match its checksum.
	Corrupt Kind = "DiskCorrupt"
	// SlowSync means that a sync took longer than the set time.
	SlowSync Kind = "DiskSlow"
	// Failed means that an operation failed in another way.
	Failed Kind = "DiskFailed"
	// Broken means that an earlier write or sync failed.
	Broken Kind = "DiskBroken"
	// InUse means that another process holds the data folder.
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

// Error is a disk fault. Its message names the remedy.
type Error struct {
	Kind Kind
	// Path is the file or folder at fault.
	Path string
	// Detail says what was being done or found.
	Detail string
	// Cause is the error of the file system, if any.
	Cause error
}

// Error returns the fault and its remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: %s: %s", e.Kind, e.Path, e.Detail)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg + ": " + e.Remedy()
}

// Remedy says what the operator can do.
func (e *Error) Remedy() string { return remedies[e.Kind] }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// fault wraps an error of the file system and finds its kind.
func fault(path, detail string, err error) *Error {
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

func corrupt(path, detail string, cause error) *Error {
	return &Error{
		Kind:   Corrupt,
		Path:   path,
		Detail: detail,
		Cause:  cause,
	}
}
