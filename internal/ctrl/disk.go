package ctrl

import (
	"time"

	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// job is one disk write: either hard state and entries, or a snapshot from the
// leader to install, or a prepared snapshot to activate.
type job struct {
	seq      quorum.Seq
	hard     quorum.HardState
	entries  []quorum.Entry
	install  *quorum.Snapshot
	activate *preparedSnapshot
}

// preparedSnapshot is a snapshot of applied state that is written to the disk
// but does not replace the log yet.
type preparedSnapshot struct {
	snapshot quorum.Snapshot
	prepared store.PreparedSnapshot
	err      error
}

func prepareSnapshot(s *store.Store, encode func() ([]byte, error), meta quorum.Meta) (p preparedSnapshot) {
	p.snapshot.Meta = meta
	if p.snapshot.Data, p.err = encode(); p.err == nil {
		p.prepared, p.err = s.PrepareSnapshot(p.snapshot)
	}
	return p
}

// diskResult is the outcome of a list of jobs. err is the fault that stopped
// them.
type diskResult struct {
	seq       quorum.Seq
	snapshot  *quorum.Snapshot
	logBytes  int64
	snapBytes int64
	slow      *store.Error
	took      time.Duration
	err       error
}

// runDisk runs lists of jobs until in is closed or a job fails. Consecutive
// appends of a list share one record and one sync.
func runDisk(s *store.Store, in <-chan []job, out chan<- diskResult) {
	for jobs := range in {
		begin := time.Now()
		res := runJobs(s, jobs)
		res.took = time.Since(begin)
		res.logBytes, res.snapBytes, res.slow = s.LogBytes(), s.SnapshotBytes(), s.TakeSlowSync()
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
		case j.activate != nil:
			res.snapshot, res.err = &j.activate.snapshot, s.ActivateSnapshot(j.activate.prepared)
		default:
			entries := j.entries
			for i+1 < len(jobs) && jobs[i+1].install == nil && jobs[i+1].activate == nil {
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
