package store

import (
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Append stores hard state and entries in one record and syncs it.
func (s *Store) Append(hard quorum.HardState, entries []quorum.Entry) error {
	if s.broken != nil {
		return s.broken
	}
	return s.write(batch{
		Hard:    hard,
		Entries: entries,
	})
}

// Prepared is a snapshot that is written and synced but not in use yet.
type Prepared struct {
	meta quorum.Meta
	size int64
}

// Prepare writes a snapshot of applied state beside the stored one. Unlike
// the other methods it may run in another goroutine, so that a large snapshot
// does not hold up the log. Those in preparation at once must differ in index.
func (s *Store) Prepare(snap quorum.Snapshot) (Prepared, error) {
	frame, err := encodeFrame(snap)
	if err != nil {
		return Prepared{}, fault(s.cfg.Folder, "cannot encode the snapshot", err)
	}
	if err := s.writeTemp(snapName(snap.Meta), frame); err != nil {
		return Prepared{}, err
	}
	return Prepared{
		meta: snap.Meta,
		size: int64(len(frame)),
	}, nil
}

// Use puts a prepared snapshot in place of the stored one and removes the
// segments that it replaces. An older one than the stored one is dropped.
func (s *Store) Use(p Prepared) error {
	if s.broken != nil {
		return s.broken
	}
	if p.meta.Index <= s.stored.Snapshot.Meta.Index {
		return s.remove(snapName(p.meta) + tempSuffix)
	}
	if err := s.use(p); err != nil {
		return err
	}
	if err := s.rotate(); err != nil {
		return err
	}
	keep := 0
	for keep < len(s.segments)-1 && s.segments[keep].last <= p.meta.Index {
		keep++
	}
	return s.dropSegments(keep)
}

// Snapshot prepares and uses a snapshot of applied state.
func (s *Store) Snapshot(snap quorum.Snapshot) error {
	if s.broken != nil {
		return s.broken
	}
	p, err := s.Prepare(snap)
	if err != nil {
		return err
	}
	return s.Use(p)
}

// Install stores a snapshot received from the leader in place of the whole log.
func (s *Store) Install(hard quorum.HardState, snap quorum.Snapshot) error {
	if s.broken != nil {
		return s.broken
	}
	p, err := s.Prepare(snap)
	if err != nil {
		return err
	}
	if err := s.use(p); err != nil {
		return err
	}
	s.hard = hard
	return s.reset()
}

// reset starts a new segment whose first record drops all entries before it.
func (s *Store) reset() error {
	if err := s.startSegment(batch{
		Hard:  s.hard,
		Reset: true,
	}); err != nil {
		return err
	}
	return s.dropSegments(len(s.segments) - 1)
}

func (s *Store) use(p Prepared) error {
	if err := s.useTemp(snapName(p.meta)); err != nil {
		return err
	}
	old := s.stored.Snapshot.Meta
	s.stored = quorum.Stored{Snapshot: quorum.Snapshot{Meta: p.meta}}
	s.snapSize = p.size
	if old.Index == 0 || old.Index == p.meta.Index {
		return nil
	}
	return s.remove(snapName(old))
}

func snapName(m quorum.Meta) string { return fileName(uint64(m.Index), snapSuffix) }

func (s *Store) write(b batch) error {
	frame, err := encodeFrame(b)
	if err != nil {
		return s.fail(s.cfg.Folder, "cannot encode the record", err)
	}
	if last := s.segments[len(s.segments)-1]; last.size >= s.cfg.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	s.hard = b.Hard
	return s.writeFrame(frame, lastIndex(b.Entries))
}

func (s *Store) writeFrame(frame []byte, last quorum.Index) error {
	seg := &s.segments[len(s.segments)-1]
	path := s.path(fileName(seg.number, logSuffix))
	_, err := s.file.Write(frame)
	if err != nil {
		err = s.fail(path, "cannot write", err)
	} else {
		err = s.sync(s.file, path)
	}
	if err != nil {
		s.cutBack(path, seg.size)
		return err
	}
	seg.size += int64(len(frame))
	seg.last = max(seg.last, last)
	return nil
}

// cutBack drops the data of a failed write, which could be readable now but
// gone after a power loss. It may fail like the write did; the data was
// never confirmed, so that is harmless while the host is up.
func (s *Store) cutBack(path string, size int64) {
	_ = s.file.Close()
	s.file = nil
	f, err := s.cfg.FS.OpenEnd(path, size)
	if err != nil {
		return
	}
	_ = f.Sync()
	_ = f.Close()
}

// rotate closes the last segment and starts the next. Its first record
// repeats the hard state, so that older segments can be removed.
func (s *Store) rotate() error { return s.startSegment(batch{Hard: s.hard}) }

func (s *Store) startSegment(first batch) error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return s.fail(s.cfg.Folder, "cannot close the segment", err)
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
		return s.fail(path, "cannot create the segment", err)
	}
	s.file = f
	if err := s.syncDir(); err != nil {
		return err
	}
	s.segments = append(s.segments, segment{number: number})
	frame, err := encodeFrame(first)
	if err != nil {
		return s.fail(path, "cannot encode the record", err)
	}
	return s.writeFrame(frame, 0)
}

// dropSegments removes the n oldest segments, the oldest first, so that a
// crash leaves no gap.
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
		return s.fail(s.path(name), "cannot remove", err)
	}
	return nil
}
