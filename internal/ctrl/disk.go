package ctrl

import (
	"time"

	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// job is one disk write: hard state and entries, or one of install and use.
type job struct {
	seq     quorum.Seq
	hard    quorum.HardState
	entries []quorum.Entry
	install *quorum.Snapshot
	use     *frozen
}

// frozen is a snapshot of applied state that is written but not in use yet.
type frozen struct {
	snapshot quorum.Snapshot
	prepared store.PreparedSnapshot
	err      error
}

func freeze(s *store.Store, encode func() ([]byte, error), meta quorum.Meta) (f frozen) {
	f.snapshot.Meta = meta
	if f.snapshot.Data, f.err = encode(); f.err == nil {
		f.prepared, f.err = s.PrepareSnapshot(f.snapshot)
	}
	return f
}

// diskResult reports a list of jobs as done, or the fault that stopped them.
type diskResult struct {
	seq      quorum.Seq
	snapshot *quorum.Snapshot
	logBytes int64
	snapSize int64
	slow     *store.Error
	took     time.Duration
	err      error
}

// runDisk carries out lists of jobs until in is closed or one fails. The
// appends of a list become one record and one sync.
func runDisk(s *store.Store, in <-chan []job, out chan<- diskResult) {
	for jobs := range in {
		begin := time.Now()
		res := runJobs(s, jobs)
		res.took = time.Since(begin)
		res.logBytes, res.snapSize, res.slow = s.LogBytes(), s.SnapshotBytes(), s.TakeSlowSync()
		out <- res
		if res.err != nil {
			return
		}
	}
}

func runJobs(s *store.Store, jobs []job) (res diskResult) {
	for i := 0; i < len(jobs); i++ {
		j := jobs[i]
		switch {
		case j.install != nil:
			res.err = s.InstallSnapshot(j.hard, *j.install)
		case j.use != nil:
			res.snapshot, res.err = &j.use.snapshot, s.ActivateSnapshot(j.use.prepared)
		default:
			entries := j.entries
			for i+1 < len(jobs) && jobs[i+1].install == nil && jobs[i+1].use == nil {
				i++
				j = jobs[i]
				entries = append(entries[:len(entries):len(entries)], j.entries...)
			}
			res.err = s.Append(j.hard, entries)
		}
		if res.err != nil {
			return res
		}
		res.seq = max(res.seq, j.seq)
	}
	return res
}
