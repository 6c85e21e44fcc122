package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that a store uses. Tests replace it to
// inject faults.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the files in dir, sorted.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, replacing an existing one.
	Create(name string) (File, error)
	// OpenEnd opens a file for writing after its first size bytes and drops the rest.
	OpenEnd(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// Lock holds name against other processes until it is closed.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is the FS of the operating system.
type Disk struct{}

// MkdirAll implements FS.
func (Disk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// List implements FS.
func (Disk) List(dir string) ([]string, error) {
	found, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(found))
	for _, f := range found {
		names = append(names, f.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (Disk) ReadFile(name string) ([]byte, error) { return os.ReadFile(filepath.Clean(name)) }

// Create implements FS.
func (Disk) Create(name string) (File, error) {
	return openFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// OpenEnd implements FS.
func (Disk) OpenEnd(name string, size int64) (File, error) {
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
