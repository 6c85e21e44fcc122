package audit

import (
	"io"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Names of the reducers that Run can replay.
const (
	ReducerEngine = "engine"
	ReducerFiling = "filing"
)

// RecordEngine returns an engine whose events are recorded at path. It takes
// the place of the engine in the host; its Close ends the record.
func RecordEngine(path string, c engine.Config, failed func(error)) (*Recorder[engine.Event, engine.Effect], error) {
	return NewRecorder(Config{
		Path:     path,
		MaxBytes: engineBytes,
		Reducer:  ReducerEngine,
		Setup:    c,
		Failed:   failed,
	}, engine.NewEngine(c).Step)
}

// EngineEvents decodes the events of the query engine.
var EngineEvents = NewCodec[engine.Event](
	engine.QueryArrived{}, engine.QueryCancelled{}, engine.AttemptAnswered{}, engine.AttemptFailed{},
	engine.UpstreamReported{}, engine.ProbeFailed{}, engine.ConfigApplied{}, engine.SeatChanged{},
	engine.DrainStarted{}, engine.Ticked{},
)

// FilingEvents decodes the events of the filing reducer.
var FilingEvents = NewCodec[filing.Event](
	filing.Arrived{}, filing.ReserveAnswered{}, filing.ReserveFailed{}, filing.SendAnswered{},
	filing.SendFailed{}, filing.RecordAnswered{}, filing.RecordFailed{}, filing.Ticked{},
)

// QuorumEvents decodes the events of the replicated log. They carry their own
// time; its Step is wrapped in a function that ignores the time of the record.
var QuorumEvents = NewCodec[quorum.Event](
	quorum.Tick{}, quorum.Receive{}, quorum.Synced{}, quorum.DiskFailed{}, quorum.Propose{},
	quorum.ChangeMember{}, quorum.Transfer{}, quorum.Compacted{},
).Holding(
	quorum.VoteRequest{}, quorum.VoteReply{}, quorum.AppendRequest{}, quorum.AppendReply{},
	quorum.SnapshotRequest{}, quorum.SnapshotReply{}, quorum.TimeoutNow{},
	quorum.AddMember{}, quorum.RemoveMember{},
)

// Run replays a record of any reducer that this package knows.
func Run(r io.ReadSeeker) (Report, error) {
	var head Header
	if err := jsonl.NewReader(r).Read(&head); err != nil {
		return Report{}, errors.Wrap(err, "record has no header")
	}
	if _, err := r.Seek(0, io.SeekStart); err != nil {
		return Report{}, errors.Wrap(err, "record cannot be read from its start")
	}
	switch head.Reducer {
	case ReducerEngine:
		return Replay(r, EngineEvents, newEngine)
	case ReducerFiling:
		return Replay(r, FilingEvents, newFiling)
	default:
		return Report{}, errors.Errorf("reducer %q cannot be replayed: use the version that wrote the record", head.Reducer)
	}
}

func newEngine(h Header) (Step[engine.Event, engine.Effect], error) {
	var c engine.Config
	if err := jsonl.Decode(h.Setup, &c); err != nil {
		return nil, errors.Wrap(err, "set-up of the engine")
	}
	return engine.NewEngine(c).Step, nil
}

func newFiling(h Header) (Step[filing.Event, filing.Effect], error) {
	var c filing.Config
	if err := jsonl.Decode(h.Setup, &c); err != nil {
		return nil, errors.Wrap(err, "set-up of the filing reducer")
	}
	return filing.New(c).Step, nil
}
