package store

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// fileNumbers returns the numbers in the names of the files that have the
// suffix. They are ascending because names is sorted.
func fileNumbers(names []string, suffix string) []uint64 {
	var found []uint64
	for _, name := range names {
		base, ok := strings.CutSuffix(name, suffix)
		if !ok || len(base) != 16 {
			continue
		}
		if n, err := strconv.ParseUint(base, 16, 64); err == nil {
			found = append(found, n)
		}
	}
	return found
}

func fileName(number uint64, suffix string) string { return fmt.Sprintf("%016x%s", number, suffix) }

func dataFiles(names []string) []string {
	var found []string
	for _, name := range names {
		if strings.HasSuffix(name, logSuffix) || strings.HasSuffix(name, snapSuffix) {
			found = append(found, name)
		}
	}
	return found
}

// loadSnapshot reads the newest snapshot. It removes older snapshots and the
// temporary files of writes that a crash interrupted.
func (s *Store) loadSnapshot(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := s.remove(name); err != nil {
				return err
			}
		}
	}
	found := fileNumbers(names, snapSuffix)
	if len(found) == 0 {
		return nil
	}
	path := s.path(fileName(found[len(found)-1], snapSuffix))
	data, err := s.cfg.FS.ReadFile(path)
	if err != nil {
		return wrapError(path, "cannot read the snapshot", err)
	}
	payload, size, ok := readFrame(data)
	if !ok || size != len(data) {
		return corruptError(path, "the snapshot does not match its checksum", nil)
	}
	if err := decMode.Unmarshal(payload, &s.stored.Snapshot); err != nil {
		return corruptError(path, "the snapshot cannot be decoded", err)
	}
	s.snapshotBytes = int64(len(data))
	for _, n := range found[:len(found)-1] {
		if err := s.remove(fileName(n, snapSuffix)); err != nil {
			return err
		}
	}
	return nil
}

// loadLog reads all segments and opens the last one for writing. Only the last
// segment may end in a torn frame, which is truncated.
func (s *Store) loadLog(names []string) error {
	found := fileNumbers(names, logSuffix)
	for i, n := range found {
		if i > 0 && n != found[i-1]+1 {
			return corruptError(s.path(fileName(n, logSuffix)), "the segment before it is missing", nil)
		}
		if err := s.loadSegment(n, i == len(found)-1); err != nil {
			return err
		}
	}
	s.stored.Hard = s.hard
	if err := s.reconcileSnapshot(); err != nil {
		return err
	}
	if len(s.segments) == 0 {
		return s.rotate()
	}
	last := &s.segments[len(s.segments)-1]
	path := s.path(fileName(last.number, logSuffix))
	f, err := s.cfg.FS.OpenTruncated(path, last.size)
	if err != nil {
		return s.failStore(path, "cannot open the segment", err)
	}
	s.file = f
	if s.report.CutBytes > 0 {
		return s.sync(f, path)
	}
	return nil
}

func (s *Store) loadSegment(number uint64, newest bool) error {
	path := s.path(fileName(number, logSuffix))
	data, err := s.cfg.FS.ReadFile(path)
	if err != nil {
		return wrapError(path, "cannot read the segment", err)
	}
	seg := segment{number: number}
	for int(seg.size) < len(data) {
		payload, size, ok := readFrame(data[seg.size:])
		if !ok {
			if !newest || findFrame(data[seg.size+1:]) {
				return corruptError(path, fmt.Sprintf("the record at byte %d does not match its checksum", seg.size), nil)
			}
			s.report.CutFile = path
			s.report.CutBytes = int64(len(data)) - seg.size
			break
		}
		var r record
		if err := decMode.Unmarshal(payload, &r); err != nil {
			return corruptError(path, fmt.Sprintf("the record at byte %d cannot be decoded", seg.size), err)
		}
		if err := s.replay(r); err != nil {
			return corruptError(path, fmt.Sprintf("the record at byte %d does not follow the one before", seg.size), err)
		}
		seg.size += int64(size)
		seg.last = max(seg.last, lastIndex(r.Entries))
	}
	s.segments = append(s.segments, seg)
	return nil
}

func (s *Store) replay(r record) error {
	s.hard = r.Hard
	list := s.stored.Entries
	if r.Reset {
		list = nil
	}
	for _, e := range r.Entries {
		if len(list) > 0 {
			first, end := list[0].Index, list[len(list)-1].Index+1
			switch {
			case e.Index > end:
				return fmt.Errorf("entry %d comes after entry %d", e.Index, end-1)
			case e.Index < first:
				list = nil
			default:
				list = list[:e.Index-first]
			}
		}
		list = append(list, e)
	}
	s.stored.Entries = list
	return nil
}

// reconcileSnapshot drops the entries that the snapshot covers. If the log
// does not contain the last entry of the snapshot, the host crashed after it
// stored a snapshot from the leader and before it reset the log: all entries
// are stale.
func (s *Store) reconcileSnapshot() error {
	meta, list := s.stored.Snapshot.Meta, s.stored.Entries
	if len(list) == 0 {
		return nil
	}
	first, last := list[0].Index, list[len(list)-1].Index
	switch {
	case first > meta.Index+1:
		return corruptError(s.cfg.Folder, fmt.Sprintf("entries %d to %d are missing between snapshot and log", meta.Index+1, first-1), nil)
	case first == meta.Index+1:
		return nil
	case last >= meta.Index && list[meta.Index-first].Term == meta.Term:
		s.stored.Entries = append([]quorum.Entry(nil), list[meta.Index-first+1:]...)
		return nil
	}
	s.stored.Entries = nil
	return s.reset()
}

func lastIndex(es []quorum.Entry) quorum.Index {
	if len(es) == 0 {
		return 0
	}
	return es[len(es)-1].Index
}
