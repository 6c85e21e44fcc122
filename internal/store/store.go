// Package store keeps the replicated log of one member on disk: a write-ahead
// log in segments, one snapshot and the identity of the data folder. Writes
// are durable when the call returns. After a failed write or sync the store
// refuses everything until the folder is opened anew, because the file
// system may have dropped data that it reported as written.
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

// Config holds the settings of a store. Zero values mean the defaults.
type Config struct {
	// Folder is the data folder. It is created if it does not exist.
	Folder string
	// ID is the identity that an empty folder gets; empty makes one up.
	ID           ident.HostID
	FS           FS
	SegmentBytes int64
	SlowSync     time.Duration
	// Clock returns the time since any fixed point, to measure syncs.
	Clock func() time.Duration
}

// Report tells what Open found besides the data.
type Report struct {
	// Created is set if the folder held no identity and got a new one.
	Created bool
	// CutFile and CutBytes describe a torn tail that was cut.
	CutFile  string
	CutBytes int64
}

// Store is an open data folder. Use it from one goroutine.
type Store struct {
	cfg    Config
	id     ident.HostID
	report Report
	stored quorum.Stored
	lock   io.Closer

	segments []segment
	file     File
	hard     quorum.HardState
	snapSize int64
	broken   *Error
	slow     *Error
}

// segment is one file of the log. The last one is open for writing.
type segment struct {
	number uint64
	size   int64
	// last is the highest index that the segment holds.
	last quorum.Index
}

type identity struct {
	ID ident.HostID `json:"ID"`
}

// Open opens or creates a data folder. All errors are of type *Error.
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
		return fault(s.cfg.Folder, "cannot create the data folder", err)
	}
	lock, err := s.cfg.FS.Lock(s.path(lockName))
	if err != nil {
		return fault(s.path(lockName), "cannot lock the data folder", err)
	}
	s.lock = lock
	names, err := s.cfg.FS.List(s.cfg.Folder)
	if err != nil {
		return fault(s.cfg.Folder, "cannot list the data folder", err)
	}
	if err := s.loadIdentity(names); err != nil {
		return err
	}
	if err := s.loadSnapshot(names); err != nil {
		return err
	}
	return s.loadLog(names)
}

// ID returns the member id of the folder.
func (s *Store) ID() ident.HostID { return s.id }

// Stored returns what the folder held when it was opened.
func (s *Store) Stored() quorum.Stored { return s.stored }

// Report tells what Open found besides the data.
func (s *Store) Report() Report { return s.report }

// LogBytes returns the size of all log segments.
func (s *Store) LogBytes() int64 {
	var sum int64
	for _, g := range s.segments {
		sum += g.size
	}
	return sum
}

// SnapshotBytes returns the size of the snapshot file.
func (s *Store) SnapshotBytes() int64 { return s.snapSize }

// Slow returns the last sync that was too slow, as an error of kind
// SlowSync, and forgets it; nil if there was none.
func (s *Store) Slow() *Error {
	slow := s.slow
	s.slow = nil
	return slow
}

// Close releases the folder. It does not sync: all writes already are.
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

// loadIdentity reads the member id, or makes one for an empty folder. A
// folder with data but without identity is damaged.
func (s *Store) loadIdentity(names []string) error {
	path := s.path(identityName)
	for _, name := range names {
		if name != identityName {
			continue
		}
		data, err := s.cfg.FS.ReadFile(path)
		if err != nil {
			return fault(path, "cannot read the identity", err)
		}
		var id identity
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&id); err != nil || id.ID == "" {
			return corrupt(path, "the identity cannot be decoded", err)
		}
		s.id = id.ID
		return nil
	}
	if kept := dataFiles(names); len(kept) > 0 {
		return corrupt(path, fmt.Sprintf("the folder holds %s but no identity", kept[0]), nil)
	}
	if s.id = s.cfg.ID; s.id == "" {
		s.id = ident.HostID(uuid.NewString())
	}
	s.report.Created = true
	data, err := json.Marshal(identity{ID: s.id})
	if err != nil {
		return fault(path, "cannot encode the identity", err)
	}
	return s.replaceFile(identityName, data)
}

// replaceFile writes a file so that a crash leaves the old or the new one.
func (s *Store) replaceFile(name string, data []byte) error {
	if err := s.writeTemp(name, data); err != nil {
		return s.broke(err)
	}
	return s.useTemp(name)
}

// writeTemp writes and syncs a temporary file. It touches no other state of
// the store.
func (s *Store) writeTemp(name string, data []byte) *Error {
	temp := s.path(name + tempSuffix)
	f, err := s.cfg.FS.Create(temp)
	if err != nil {
		return fault(temp, "cannot create the file", err)
	}
	if _, err = f.Write(data); err != nil {
		_ = f.Close()
		return fault(temp, "cannot write", err)
	}
	if err = f.Sync(); err != nil {
		_ = f.Close()
		return fault(temp, "cannot sync", err)
	}
	if err = f.Close(); err != nil {
		return fault(temp, "cannot close", err)
	}
	return nil
}

// useTemp puts a temporary file in the place of the file.
func (s *Store) useTemp(name string) error {
	if err := s.cfg.FS.Rename(s.path(name+tempSuffix), s.path(name)); err != nil {
		return s.fail(s.path(name), "cannot rename the temporary file", err)
	}
	return s.syncDir()
}

func (s *Store) sync(f File, path string) error {
	start := s.cfg.Clock()
	if err := f.Sync(); err != nil {
		return s.fail(path, "cannot sync", err)
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
		return s.fail(s.cfg.Folder, "cannot sync the folder", err)
	}
	return nil
}

// fail returns the fault and refuses all later writes.
func (s *Store) fail(path, detail string, err error) error {
	return s.broke(fault(path, detail, err))
}

func (s *Store) broke(f *Error) error {
	s.broken = &Error{
		Kind:   Broken,
		Path:   f.Path,
		Detail: "an earlier write failed",
		Cause:  f,
	}
	return f
}

func (s *Store) path(name string) string { return filepath.Join(s.cfg.Folder, name) }
