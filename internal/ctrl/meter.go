package ctrl

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// meters keeps the metrics of a control host. Every name starts with
// "control_".
//
//	| name              | kind      | tags          | meaning                                        |
//	| ----------------- | --------- | ------------- | ---------------------------------------------- |
//	| requests          | counter   | part, outcome | requests that ended on this host; the part of  |
//	|                   |           |               | membership changes is members                  |
//	| write_seconds     | histogram |               | time of one write and sync of the disk         |
//	| leader            | gauge     |               | 1 while this member leads                      |
//	| lease             | gauge     |               | 1 while local reads are current                |
//	| member            | gauge     |               | 1 while this host is in its own member list    |
//	| leader_known      | gauge     |               | 1 while this member knows a leader             |
//	| term              | gauge     |               | term of the replicated log                     |
//	| commit, applied   | gauge     |               | last committed and applied index               |
//	| members_silent    | gauge     |               | members that do not reply; leader only         |
//	| log_bytes         | gauge     |               | size of the log in the data folder             |
//	| snapshot_bytes    | gauge     |               | size of the snapshot in the data folder        |
//	| requests_waiting  | gauge     |               | requests that wait for their outcome           |
//	| disk_failed       | gauge     |               | 1 while the data folder cannot be used         |
//	| entry_hosts_live  | gauge     |               | entry hosts that send heartbeats; leader only  |
//	| evacuated_domains | gauge     |               | evacuated domains; on the platform only        |
//	| evacuation_revision | gauge   |               | position in the log of their last change; on   |
//	|                   |           |               | the platform only                              |
type meters struct {
	scope     tally.Scope
	closer    io.Closer
	handler   http.Handler
	requests  map[requestKey]tally.Counter
	writeTime tally.Histogram

	leader, lease, member, leaderKnown             tally.Gauge
	term, commit, applied, unreachable             tally.Gauge
	logBytes, snapBytes, waiting, diskFailed, live tally.Gauge
}

type requestKey struct {
	part    string
	outcome config.OutcomeKind
}

const membersPart = "members"

// writeBuckets are 20 bounds from 0.1 ms to about 4 s.
var writeBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 1.75, 20)

func newMeters() *meters {
	rep := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "control",
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         rep,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	m := &meters{
		scope:       scope,
		closer:      closer,
		handler:     rep.HTTPHandler(),
		requests:    map[requestKey]tally.Counter{},
		writeTime:   scope.Histogram("write_seconds", writeBuckets),
		leader:      scope.Gauge("leader"),
		lease:       scope.Gauge("lease"),
		member:      scope.Gauge("member"),
		leaderKnown: scope.Gauge("leader_known"),
		term:        scope.Gauge("term"),
		commit:      scope.Gauge("commit"),
		applied:     scope.Gauge("applied"),
		unreachable: scope.Gauge("members_silent"),
		logBytes:    scope.Gauge("log_bytes"),
		snapBytes:   scope.Gauge("snapshot_bytes"),
		waiting:     scope.Gauge("requests_waiting"),
		diskFailed:  scope.Gauge("disk_failed"),
		live:        scope.Gauge("entry_hosts_live"),
	}
	for _, part := range []string{state.ConfigName, state.LedgerName, membersPart} {
		for _, kind := range []config.OutcomeKind{config.Accepted, config.NotRun, config.Unknown} {
			m.requests[requestKey{part, kind}] = scope.Tagged(map[string]string{
				"part":    part,
				"outcome": string(kind),
			}).Counter("requests")
		}
	}
	return m
}

// countRequest counts a completed request. Accepted means committed and
// applied; the part itself may still have refused the command.
func (m *meters) countRequest(r Request, kind config.OutcomeKind) {
	part := membersPart
	if r.Command != nil {
		part = r.Command.Part
	}
	if c, ok := m.requests[requestKey{part, kind}]; ok {
		c.Inc(1)
	}
}

// setGauges sets the gauges from the owner's state.
func (m *meters) setGauges(v view) {
	q, unreachable, live := v.quorum, 0, 0
	for _, p := range q.Peers {
		if !p.Reached {
			unreachable++
		}
	}
	for _, d := range v.domains {
		live += d.Live
	}
	m.leader.Update(indicator(q.Role == quorum.Leader))
	m.lease.Update(indicator(q.Lease))
	_, isMember := memberOf(q.Members, q.ID)
	m.member.Update(indicator(isMember))
	m.leaderKnown.Update(indicator(q.Leader != ""))
	m.term.Update(float64(q.Term))
	m.commit.Update(float64(q.Commit))
	m.applied.Update(float64(q.Applied))
	m.unreachable.Update(float64(unreachable))
	m.logBytes.Update(float64(v.logBytes))
	m.snapBytes.Update(float64(v.snapBytes))
	m.waiting.Update(float64(v.pending))
	m.diskFailed.Update(indicator(q.Failed))
	m.live.Update(float64(live))
}

func indicator(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
