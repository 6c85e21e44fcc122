package store

import (
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Append writes the hard state and the entries as one record and syncs it. The
// entries replace stored ones with the same or a higher index.
func (s *Store) Append(hard quorum.HardState, entries []quorum.Entry) error {
	if s.broken != nil {
		return s.broken
	}
	return s.write(record{
		Hard:    hard,
		Entries: entries,
	})
}

// PreparedSnapshot is a snapshot in a synced temporary file, not active yet.
type PreparedSnapshot struct {
	meta quorum.Meta
	size int64
}

// PrepareSnapshot writes a snapshot of applied state to a temporary file. Unlike
// the other methods it may run in another goroutine, so that a large snapshot
// does not block appends. Snapshots prepared concurrently must differ in index,
// which names the file.
func (s *Store) PrepareSnapshot(snap quorum.Snapshot) (PreparedSnapshot, error) {
	frame, err := encodeFrame(snap)
	if err != nil {
		return PreparedSnapshot{}, wrapError(s.cfg.Folder, "cannot encode the snapshot", err)
	}
	if err := s.writeTemp(snapName(snap.Meta), frame); err != nil {
		return PreparedSnapshot{}, err
	}
	return PreparedSnapshot{
		meta: snap.Meta,
		size: int64(len(frame)),
	}, nil
}

// ActivateSnapshot makes a prepared snapshot the active one and removes the log
// segments that it covers. If the active snapshot covers as much or more, the
// prepared one is removed instead.
func (s *Store) ActivateSnapshot(p PreparedSnapshot) error {
	if s.broken != nil {
		return s.broken
	}
	if p.meta.Index <= s.stored.Snapshot.Meta.Index {
		return s.remove(snapName(p.meta) + tempSuffix)
	}
	if err := s.activate(p); err != nil {
		return err
	}
	if err := s.rotate(); err != nil {
		return err
	}
	covered := 0
	for covered < len(s.segments)-1 && s.segments[covered].last <= p.meta.Index {
		covered++
	}
	return s.dropSegments(covered)
}

// SaveSnapshot stores a snapshot of applied state and removes the log segments
// that it covers.
func (s *Store) SaveSnapshot(snap quorum.Snapshot) error {
	if s.broken != nil {
		return s.broken
	}
	p, err := s.PrepareSnapshot(snap)
	if err != nil {
		return err
	}
	return s.ActivateSnapshot(p)
}

// InstallSnapshot replaces the snapshot and the entire log by a snapshot
// received from the leader.
func (s *Store) InstallSnapshot(hard quorum.HardState, snap quorum.Snapshot) error {
	if s.broken != nil {
		return s.broken
	}
	p, err := s.PrepareSnapshot(snap)
	if err != nil {
		return err
	}
	if err := s.activate(p); err != nil {
		return err
	}
	s.hard = hard
	return s.reset()
}

// reset starts a new segment whose first record discards all earlier entries,
// and removes the other segments.
func (s *Store) reset() error {
	if err := s.startSegment(record{
		Hard:  s.hard,
		Reset: true,
	}); err != nil {
		return err
	}
	return s.dropSegments(len(s.segments) - 1)
}

func (s *Store) activate(p PreparedSnapshot) error {
	if err := s.renameTemp(snapName(p.meta)); err != nil {
		return err
	}
	old := s.stored.Snapshot.Meta
	s.stored = quorum.Stored{Snapshot: quorum.Snapshot{Meta: p.meta}}
	s.snapshotBytes = p.size
	if old.Index == 0 || old.Index == p.meta.Index {
		return nil
	}
	return s.remove(snapName(old))
}

func snapName(m quorum.Meta) string { return fileName(uint64(m.Index), snapSuffix) }

func (s *Store) write(r record) error {
	frame, err := encodeFrame(r)
	if err != nil {
		return s.failStore(s.cfg.Folder, "cannot encode the record", err)
	}
	if last := s.segments[len(s.segments)-1]; last.size >= s.cfg.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	s.hard = r.Hard
	return s.writeFrame(frame, lastIndex(r.Entries))
}

func (s *Store) writeFrame(frame []byte, last quorum.Index) error {
	seg := &s.segments[len(s.segments)-1]
	path := s.path(fileName(seg.number, logSuffix))
	_, err := s.file.Write(frame)
	if err != nil {
		err = s.failStore(path, "cannot write", err)
	} else {
		err = s.sync(s.file, path)
	}
	if err != nil {
		s.truncateTail(path, seg.size)
		return err
	}
	seg.size += int64(len(frame))
	seg.last = max(seg.last, last)
	return nil
}

// truncateTail removes the data of a failed write and closes the segment.
// Otherwise a restart could read data that is not durable and would disappear
// with a power failure. Errors are ignored: the disk has just failed and the
// write is reported as failed anyway.
func (s *Store) truncateTail(path string, size int64) {
	_ = s.file.Close()
	s.file = nil
	f, err := s.cfg.FS.OpenTruncated(path, size)
	if err != nil {
		return
	}
	_ = f.Sync()
	_ = f.Close()
}

// rotate closes the last segment and starts the next. The first record of a
// segment repeats the hard state, so that older segments can be removed.
func (s *Store) rotate() error { return s.startSegment(record{Hard: s.hard}) }

func (s *Store) startSegment(first record) error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return s.failStore(s.cfg.Folder, "cannot close the segment", err)
		}
		s.file = nil
	}
	number := uint64(1)
	if len(s.segments) > 0 {
		number = s.segments[len(s.segments)-1].number + 1
	}
	path := s.path(fileName(number, logSuffix))
	f, err := s.cfg.FS.Create(path)
	if err != nil {
		return s.failStore(path, "cannot create the segment", err)
	}
	s.file = f
	if err := s.syncDir(); err != nil {
		return err
	}
	s.segments = append(s.segments, segment{number: number})
	frame, err := encodeFrame(first)
	if err != nil {
		return s.failStore(path, "cannot encode the record", err)
	}
	return s.writeFrame(frame, 0)
}

// dropSegments removes the n oldest segments in ascending order, so that a
// crash leaves no gap in the numbering.
func (s *Store) dropSegments(n int) error {
	for range n {
		if err := s.remove(fileName(s.segments[0].number, logSuffix)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return s.syncDir()
}

func (s *Store) remove(name string) error {
	if err := s.cfg.FS.Remove(s.path(name)); err != nil {
		return s.failStore(s.path(name), "cannot remove", err)
	}
	return nil
}
