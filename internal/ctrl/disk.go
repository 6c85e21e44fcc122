package ctrl

import (
	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// job is one disk write. Exactly one of entries-and-hard, install and freeze is used.
type job struct {
	seq     quorum.Seq
	hard    quorum.HardState
	entries []quorum.Entry
	install *quorum.Snapshot
	// freeze encodes a snapshot of applied state at meta.
	freeze func() ([]byte, error)
	meta   quorum.Meta
}

// diskResult reports a list of jobs as done, or the fault that stopped them.
type diskResult struct {
	seq      quorum.Seq
	snapshot *quorum.Snapshot
	logBytes int64
	snapSize int64
	slow     *store.Error
	err      error
}

// runDisk carries out lists of jobs until in is closed or one fails. The
// appends of a list become one record and one sync.
func runDisk(s *store.Store, in <-chan []job, out chan<- diskResult) {
	for jobs := range in {
		res := runJobs(s, jobs)
		res.logBytes, res.snapSize, res.slow = s.LogBytes(), s.SnapshotBytes(), s.Slow()
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
			res.err = s.Install(j.hard, *j.install)
		case j.freeze != nil:
			res.snapshot, res.err = saveSnapshot(s, j)
		default:
			entries := j.entries
			for i+1 < len(jobs) && jobs[i+1].install == nil && jobs[i+1].freeze == nil {
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

func saveSnapshot(s *store.Store, j job) (*quorum.Snapshot, error) {
	data, err := j.freeze()
	if err != nil {
		return nil, err
	}
	snap := &quorum.Snapshot{
		Meta: j.meta,
		Data: data,
	}
	return snap, s.Snapshot(*snap)
}
