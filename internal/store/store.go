// Package store persists the replicated log of one control group member: a
// segmented write-ahead log, one snapshot and the member id. Writes are durable
// when the call returns. After a failed write or sync the store rejects all
// further writes until the folder is opened again, because the file system may
// have dropped data that it reported as written.
package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/google/uuid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Config holds the settings of a store. Zero values select the defaults.
type Config struct {
	// Folder is the data folder. It is created if it does not exist.
	Folder string
	// ID is the member id that a new folder gets. If it is empty, a random UUID
	// is generated.
	ID ident.HostID
	// FS defaults to Disk.
	FS FS
	// SegmentBytes is the size at which a log segment is closed; the default is
	// 1 MiB.
	SegmentBytes int64
	// SlowSync is the duration above which a sync is reported as slow; the
	// default is 500 ms.
	SlowSync time.Duration
	// Clock returns a monotonic time, used to measure syncs.
	Clock func() time.Duration
}

// Report describes what Open created or repaired.
type Report struct {
	// Created is true if the folder had no member id and a new one was written.
	Created bool
	// CutFile is the log segment whose torn last record was truncated, and
	// CutBytes the number of bytes removed. Zero if there was none.
	CutFile  string
	CutBytes int64
}

// Store is an open data folder. It is not safe for concurrent use, except for
// PrepareSnapshot.
type Store struct {
	cfg    Config
	id     ident.HostID
	report Report
	stored quorum.Stored
	lock   io.Closer

	segments      []segment
	file          File
	hard          quorum.HardState
	snapshotBytes int64
	broken        *Error
	slow          *Error
}

// segment is one file of the log. The last one is open for writing.
type segment struct {
	number uint64
	size   int64
	// last is the highest entry index in the segment.
	last quorum.Index
}

type identity struct {
	ID ident.HostID `json:"ID"`
}

// Open opens a data folder, or creates it, and locks it against other
// processes. All errors are of type *Error.
func Open(cfg Config) (*Store, error) {
	if cfg.FS == nil {
		cfg.FS = Disk{}
	}
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.SlowSync == 0 {
		cfg.SlowSync = defaultSlowSync
	}
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	s := &Store{cfg: cfg}
	if err := s.open(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open() error {
	if err := s.cfg.FS.MkdirAll(s.cfg.Folder); err != nil {
		return wrapError(s.cfg.Folder, "cannot create the data folder", err)
	}
	lock, err := s.cfg.FS.Lock(s.path(lockName))
	if err != nil {
		return wrapError(s.path(lockName), "cannot lock the data folder", err)
	}
	s.lock = lock
	names, err := s.cfg.FS.List(s.cfg.Folder)
	if err != nil {
		return wrapError(s.cfg.Folder, "cannot list the data folder", err)
	}
	if err := s.loadIdentity(names); err != nil {
		return err
	}
	if err := s.loadSnapshot(names); err != nil {
		return err
	}
	return s.loadLog(names)
}

// ID returns the member id stored in the folder.
func (s *Store) ID() ident.HostID { return s.id }

// Stored returns the hard state, snapshot and entries that Open loaded.
func (s *Store) Stored() quorum.Stored { return s.stored }

// Report returns what Open created or repaired.
func (s *Store) Report() Report { return s.report }

// LogBytes returns the total size of the log segments.
func (s *Store) LogBytes() int64 {
	var sum int64
	for _, g := range s.segments {
		sum += g.size
	}
	return sum
}

// SnapshotBytes returns the size of the snapshot file.
func (s *Store) SnapshotBytes() int64 { return s.snapshotBytes }

// TakeSlowSync returns the last slow sync since the previous call as an error
// of kind SlowSync, or nil, and clears it.
func (s *Store) TakeSlowSync() *Error {
	slow := s.slow
	s.slow = nil
	return slow
}

// Close closes the log and unlocks the folder. It does not sync, since every
// write already has been synced.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.lock != nil {
		if lerr := s.lock.Close(); err == nil {
			err = lerr
		}
		s.lock = nil
	}
	if s.broken == nil {
		s.broken = &Error{
			Kind:   Broken,
			Path:   s.cfg.Folder,
			Detail: "the store is closed",
		}
	}
	return err
}

// loadIdentity reads the member id, or creates one in a new folder. A folder
// with data files but without an identity file is corrupt.
func (s *Store) loadIdentity(names []string) error {
	path := s.path(identityName)
	for _, name := range names {
		if name != identityName {
			continue
		}
		data, err := s.cfg.FS.ReadFile(path)
		if err != nil {
			return wrapError(path, "cannot read the identity", err)
		}
		var id identity
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&id); err != nil || id.ID == "" {
			return corruptError(path, "the identity cannot be decoded", err)
		}
		s.id = id.ID
		return nil
	}
	if found := dataFiles(names); len(found) > 0 {
		return corruptError(path, fmt.Sprintf("the folder contains %s but no identity file", found[0]), nil)
	}
	if s.id = s.cfg.ID; s.id == "" {
		s.id = ident.HostID(uuid.NewString())
	}
	s.report.Created = true
	data, err := json.Marshal(identity{ID: s.id})
	if err != nil {
		return wrapError(path, "cannot encode the identity", err)
	}
	return s.replaceFile(identityName, data)
}

// replaceFile replaces a file atomically: after a crash it has either the old
// or the new content.
func (s *Store) replaceFile(name string, data []byte) error {
	if err := s.writeTemp(name, data); err != nil {
		return s.markBroken(err)
	}
	return s.renameTemp(name)
}

// writeTemp writes and syncs a temporary file. It changes no field of the
// store, so PrepareSnapshot can call it in another goroutine.
func (s *Store) writeTemp(name string, data []byte) *Error {
	temp := s.path(name + tempSuffix)
	f, err := s.cfg.FS.Create(temp)
	if err != nil {
		return wrapError(temp, "cannot create the file", err)
	}
	if _, err = f.Write(data); err != nil {
		_ = f.Close()
		return wrapError(temp, "cannot write", err)
	}
	if err = f.Sync(); err != nil {
		_ = f.Close()
		return wrapError(temp, "cannot sync", err)
	}
	if err = f.Close(); err != nil {
		return wrapError(temp, "cannot close", err)
	}
	return nil
}

// renameTemp replaces the file name by its temporary file, durably.
func (s *Store) renameTemp(name string) error {
	if err := s.cfg.FS.Rename(s.path(name+tempSuffix), s.path(name)); err != nil {
		return s.failStore(s.path(name), "cannot rename the temporary file", err)
	}
	return s.syncDir()
}

func (s *Store) sync(f File, path string) error {
	start := s.cfg.Clock()
	if err := f.Sync(); err != nil {
		return s.failStore(path, "cannot sync", err)
	}
	if took := s.cfg.Clock() - start; took > s.cfg.SlowSync {
		s.slow = &Error{
			Kind:   SlowSync,
			Path:   path,
			Detail: fmt.Sprintf("a sync took %s", took.Round(time.Millisecond)),
		}
	}
	return nil
}

func (s *Store) syncDir() error {
	if err := s.cfg.FS.SyncDir(s.cfg.Folder); err != nil {
		return s.failStore(s.cfg.Folder, "cannot sync the folder", err)
	}
	return nil
}

// failStore returns the wrapped error and makes the store reject all further
// writes.
func (s *Store) failStore(path, detail string, err error) error {
	return s.markBroken(wrapError(path, detail, err))
}

func (s *Store) markBroken(e *Error) error {
	s.broken = &Error{
		Kind:   Broken,
		Path:   e.Path,
		Detail: "an earlier write failed",
		Cause:  e,
	}
	return e
}

func (s *Store) path(name string) string { return filepath.Join(s.cfg.Folder, name) }
