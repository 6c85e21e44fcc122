package replay

import (
	"io"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Names of the reducers that Run can replay.
const (
	ReducerEngine = "engine"
	ReducerFiling = "filing"
	ReducerLedger = "ledger"
	ReducerConfig = "config"
	ReducerSpread = "spread"
	ReducerTable  = "member-table"
	ReducerHolder = "member-holder"
	ReducerQuorum = "quorum"
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

// LedgerCommands decodes the commands of the filing ledger.
var LedgerCommands = NewCodec[ledger.Command](
	ledger.Reserve{}, ledger.Complete{}, ledger.Release{}, ledger.Expire{}, ledger.Resolve{},
)

// ConfigCommands decodes operator commands.
var ConfigCommands = NewCodec(config.Command{}).Holding(changes...)

// SpreadEvents decodes the events of the distribution of the configuration.
var SpreadEvents = NewCodec[follow.Event](
	follow.Started{}, follow.Received{}, follow.StreamEnded{}, follow.VersionAnswered{},
	follow.VersionFailed{}, follow.PeersChanged{}, follow.Ticked{},
).Holding(changes...)

// TableEvents decodes the events of the seats on the control leader.
var TableEvents = NewCodec[member.Event](
	member.LeaderStarted{}, member.LeaderStopped{}, member.Beat{}, member.Listed{},
	member.SeatsSet{}, member.Ticked{},
)

// HolderEvents decodes the events of the seat of one entry host.
var HolderEvents = NewCodec[member.HolderEvent](
	member.Started{}, member.Answered{}, member.Failed{}, member.ConfigApplied{},
	member.Left{}, member.TimePassed{},
)

var changes = []any{
	config.SwitchPreset{},
	config.PutPreset{},
	config.AddUpstream{},
	config.RetireUpstream{},
	config.RemoveUpstream{},
	config.PlaceShards{},
	config.SetSeats{},
}

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
		return replay(r, EngineEvents, newEngine)
	case ReducerFiling:
		return replay(r, FilingEvents, newFiling)
	case ReducerLedger:
		return replay(r, LedgerCommands, newLedger)
	case ReducerConfig:
		return replay(r, ConfigCommands, newConfig)
	case ReducerSpread:
		return replay(r, SpreadEvents, newSpread)
	case ReducerTable:
		return replay(r, TableEvents, newTable)
	case ReducerHolder:
		return replay(r, HolderEvents, newHolder)
	case ReducerQuorum:
		return replay(r, QuorumEvents, newQuorum)
	default:
		return Report{}, errors.Errorf("reducer %q cannot be replayed: use the version that wrote the record", head.Reducer)
	}
}
