package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the file system interface that a store uses. Tests replace it to
// inject errors.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the entries of dir, sorted.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// OpenTruncated truncates an existing file to size bytes and opens it for
	// writing at its end.
	OpenTruncated(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock on the file name, which other processes
	// respect, until the result is closed. It does not wait.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk implements FS with the file system of the operating system.
type Disk struct{}

// MkdirAll implements FS.
func (Disk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// List implements FS.
func (Disk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (Disk) ReadFile(name string) ([]byte, error) { return os.ReadFile(filepath.Clean(name)) }

// Create implements FS.
func (Disk) Create(name string) (File, error) {
	return openFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// OpenTruncated implements FS.
func (Disk) OpenTruncated(name string, size int64) (File, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err = f.Truncate(size); err == nil {
		_, err = f.Seek(size, io.SeekStart)
	}
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	err = d.Sync()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	return err
}

// Lock implements FS.
func (Disk) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func openFile(name string, flag int) (File, error) {
	f, err := os.OpenFile(filepath.Clean(name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}
