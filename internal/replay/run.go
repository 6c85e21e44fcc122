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

// Names of the reducers that Run can replay, as written in a Header.
const (
	ReducerEngine = "engine"
	ReducerFiling = "filing"
	ReducerLedger = "ledger"
	ReducerConfig = "config"
	ReducerFollow = "spread" // the name in existing records
	ReducerTable  = "member-table"
	ReducerHolder = "member-holder"
	ReducerQuorum = "quorum"
)

// RecordEngine returns an engine that records its events in the file at path.
// It replaces the engine in a host; its Close completes the record. failed is
// called once if recording stops early, and may be nil.
func RecordEngine(path string, c engine.Config, failed func(error)) (*Recorder[engine.Event, engine.Effect], error) {
	return NewRecorder(Config{
		Path:     path,
		MaxBytes: maxEngineRecordBytes,
		Reducer:  ReducerEngine,
		Setup:    c,
		Failed:   failed,
	}, engine.NewEngine(c).Step)
}

// EngineEvents decodes the events of the query engine.
var EngineEvents = NewCodec[engine.Event](
	engine.QueryArrived{}, engine.QueryCancelled{}, engine.AttemptAnswered{}, engine.AttemptFailed{},
	engine.UpstreamReported{}, engine.ProbeFailed{}, engine.ConfigApplied{}, engine.SeatChanged{},
	engine.DrainStarted{}, engine.Ticked{}, engine.ShareGranted{}, engine.Told{},
)

// FilingEvents decodes the events of the filing reducer.
var FilingEvents = NewCodec[filing.Event](
	filing.Arrived{}, filing.ReserveAnswered{}, filing.ReserveFailed{}, filing.SendAnswered{},
	filing.SendFailed{}, filing.RecordAnswered{}, filing.RecordFailed{}, filing.Ticked{},
)

// QuorumEvents decodes the events of the replicated log. They carry their own
// time, so QuorumStep ignores the time of the record.
var QuorumEvents = NewCodec[quorum.Event](
	quorum.Tick{}, quorum.Receive{}, quorum.Synced{}, quorum.DiskFailed{}, quorum.Propose{},
	quorum.ChangeMember{}, quorum.Transfer{}, quorum.Compacted{},
).WithVariants(
	quorum.VoteRequest{}, quorum.VoteReply{}, quorum.AppendRequest{}, quorum.AppendReply{},
	quorum.SnapshotRequest{}, quorum.SnapshotReply{}, quorum.TimeoutNow{},
	quorum.AddMember{}, quorum.RemoveMember{},
)

// LedgerCommands decodes the commands of the filing ledger.
var LedgerCommands = NewCodec[ledger.Command](
	ledger.Reserve{}, ledger.Complete{}, ledger.Release{}, ledger.Expire{}, ledger.Resolve{},
)

// ConfigCommands decodes the commands that change the configuration.
var ConfigCommands = NewCodec(config.Command{}).WithVariants(configChanges...)

// FollowEvents decodes the events of a host that follows the configuration.
var FollowEvents = NewCodec[follow.Event](
	follow.Started{}, follow.Received{}, follow.StreamEnded{}, follow.VersionAnswered{},
	follow.VersionFailed{}, follow.PeersChanged{}, follow.Ticked{},
).WithVariants(configChanges...)

// TableEvents decodes the events of the seat table on the control leader.
var TableEvents = NewCodec[member.Event](
	member.LeaderStarted{}, member.LeaderStopped{}, member.Beat{}, member.Listed{},
	member.SeatsSet{}, member.Ticked{},
)

// HolderEvents decodes the events of the seat holder on an entry host.
var HolderEvents = NewCodec[member.HolderEvent](
	member.Started{}, member.Answered{}, member.Failed{}, member.ConfigApplied{},
	member.Left{}, member.TimePassed{},
)

// configChanges are the variants of config.Change.
var configChanges = []any{
	config.SwitchPreset{},
	config.PutPreset{},
	config.AddUpstream{},
	config.RetireUpstream{},
	config.RemoveUpstream{},
	config.PlaceShards{},
	config.SetSeats{},
}

// Run replays a record of any of the reducers named above and checks its
// expected outcomes. It stops at the first difference. An error means that the
// record cannot be read.
func Run(r io.ReadSeeker) (Report, error) {
	var head Header
	if err := jsonl.NewReader(r).Read(&head); err != nil {
		return Report{}, errors.Wrap(err, "record has no header")
	}
	if _, err := r.Seek(0, io.SeekStart); err != nil {
		return Report{}, errors.Wrap(err, "record cannot be rewound to its start")
	}
	switch head.Reducer {
	case ReducerEngine:
		return run(r, EngineEvents, newEngine)
	case ReducerFiling:
		return run(r, FilingEvents, newFiling)
	case ReducerLedger:
		return run(r, LedgerCommands, newLedger)
	case ReducerConfig:
		return run(r, ConfigCommands, newConfig)
	case ReducerFollow:
		return run(r, FollowEvents, newFollow)
	case ReducerTable:
		return run(r, TableEvents, newTable)
	case ReducerHolder:
		return run(r, HolderEvents, newHolder)
	case ReducerQuorum:
		return run(r, QuorumEvents, newQuorum)
	default:
		return Report{}, errors.Errorf("reducer %q cannot be replayed: use the version that wrote the record", head.Reducer)
	}
}
