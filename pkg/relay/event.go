package relay

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Event is an input of Engine.Step.
type Event interface{ isEvent() }

// At returns an event with the present time, which is when the engine gets it. An Arrive
// that has waited began when it was stamped: a process may be paused in between.
func At(ev Event, now ident.Instant) Event {
	switch ev := ev.(type) {
	case Install:
		ev.Now = now
		return ev
	case Listed:
		ev.Now = now
		return ev
	case Hosts:
		ev.Now = now
		return ev
	case Evacuated:
		ev.Now = now
		return ev
	case Arrive:
		if ev.Began == 0 {
			ev.Began = ev.Now
		}
		ev.Now = now
		return ev
	case Gatherers:
		ev.Now = now
		return ev
	case DelegateEnded:
		ev.Now = now
		return ev
	case Ended:
		ev.Now = now
		return ev
	case FactsReceived:
		ev.Now = now
		return ev
	case Granted:
		ev.Now = now
		return ev
	case Disconnected:
		ev.Now = now
		return ev
	case Abandoned:
		ev.Now = now
		return ev
	case Stopping:
		ev.Now = now
		return ev
	case Tick:
		ev.Now = now
		return ev
	}
	return ev
}

// Install activates a document. It is ignored unless its version is newer than
// the active one.
type Install struct {
	Now   ident.Instant
	Table *rules.Table
}

// Listed replaces the list of known upstreams.
type Listed struct {
	Now       ident.Instant
	Upstreams []Upstream
}

// Evacuated replaces the evacuated domains, none of whose upstreams is called.
type Evacuated struct {
	Now     ident.Instant
	Domains []ident.Domain
}

// Hosts updates the number of hosts that share the budgets and connections.
type Hosts struct {
	Now   ident.Instant
	Count int
	// Gatherers is the number of gatherers; each may have helpers. Gathers is
	// set if this host is a gatherer.
	Gatherers int
	Gathers   bool
}

// Arrive is a completely read request, from a caller or from another host.
type Arrive struct {
	Now ident.Instant
	// Began is when the caller began to send the request, from which Limit and the
	// times of the route count; 0 for Now.
	Began ident.Instant
	Query ident.QueryID
	Host  string
	Path  string
	// Request is the caller's id of the request, Print identifies what it asks.
	Request ident.RequestID
	Print   blame.Print
	// Account is the caller's account, empty if it has none. Priority replaces that of
	// the route if HasPriority is set.
	Account     ident.Account
	Priority    int
	HasPriority bool
	// Cleared is set if the host that delegates the request has had an answer to
	// it from an upstream.
	Cleared bool
	// Draw is that of the host that delegates the request; 0 for none.
	Draw quota.Draw
	// Limit is how long the caller waits; 0 if unknown.
	Limit time.Duration
	// Version, if not 0, is the only document under which the request may run.
	Version rules.Version
	// Shards, if set, are the positions in the route of the shards that another
	// host requests. The answer then includes those received within Target.
	Shards []int
	Target time.Duration
	// Trip is the round-trip time to the caller; 0 if unknown.
	Trip time.Duration
	// Spent is the time that the delegating host has used so far and will need
	// for the return path; 0 if the request comes directly from a caller.
	Spent time.Duration
	// Direct is set if this host acts as a helper: it must call the upstreams
	// itself and may not delegate.
	Direct bool
	// Rest is set if the shards are those that an earlier answer of this host to
	// the same request left out since their calls were in flight.
	Rest bool
}

// Gatherers updates the other domains that have a gatherer for this host, and
// the helpers in its own domain.
type Gatherers struct {
	Now     ident.Instant
	Domains []ident.Domain
	Helpers []ident.HostID
}

// DelegateEnded is another host's answer to a Delegate, or its failure to
// answer.
type DelegateEnded struct {
	Now   ident.Instant
	Query ident.QueryID
	Group int
	// Answered are the positions of the shards that the answer includes.
	Answered []int
	// Tried lists the calls made for the shards that the answer lacks.
	Tried []Tried
	// Usual is how long the other host took for the usual shard, 0 if unknown, and
	// Shed is the number of shards at which upstreams shed calls.
	Usual time.Duration
	Shed  int
	// Lost is set if the host may have received the Delegate but did not answer.
	// Any of the shards may then have been called.
	Lost bool
}

// Tried counts the unsuccessful calls of one shard. Shard is its position in
// the route.
type Tried struct {
	Shard int
	// Arrivals counts all calls that reached an upstream, Runs those that may
	// have run there.
	Arrivals int
	Runs     int
	// Skipped is set if no call was made because none was expected to end in
	// time.
	Skipped bool
	// Crashed is set if an upstream crashed under one of the calls.
	Crashed bool
	// Pause is how long the upstreams of a skipped shard want no calls from the
	// host, or count as unreachable there; 0 if they were skipped for another reason.
	Pause time.Duration
	// Pending is set if calls are still in flight, whose answers can be asked for.
	Pending bool
}

// Ended reports the end of a call to an upstream.
type Ended struct {
	Now     ident.Instant
	Attempt ident.AttemptID
	Result  Result
	// Status is the upstream's HTTP status, or 0 if it did not answer.
	Status int
	// Moved is set if another upstream answers at the address.
	Moved bool
	// Endless is set if the answer was cut off since it exceeded a bound.
	Endless bool
	// Crashed is set if the connection ended before an answer began, or in the middle
	// of one and the upstream accepts no connections: its process has ended.
	Crashed bool
	Load    Load
	// Limit is the limit for all hosts together, in calls per second, that the
	// answer states; 0 if it states none, or UnreadableLimit.
	Limit float64
	// Leaving is set if the answer states that the upstream leaves.
	Leaving bool
	// Pause is how long the upstream wants no calls from this host; 0 if it does
	// not say.
	Pause time.Duration
}

// Granted is an owner's answer to a Report.
type Granted struct {
	Now ident.Instant
	// Sent is when the report was sent.
	Sent   ident.Instant
	Domain ident.Domain
	Grants []quota.Grant
}

// Disconnected reports that the caller has closed its connection, or that its key was
// withdrawn. The calls of a request that may run once only go on to their end, unless
// its key was withdrawn.
type Disconnected struct {
	Now       ident.Instant
	Query     ident.QueryID
	Withdrawn bool
}

// Abandoned reports that the caller of a request has left, whose shards another host
// had delegated to this one: see Abandon.
type Abandoned struct {
	Now     ident.Instant
	Request ident.RequestID
	Version rules.Version
	Shards  []int
}

// Stopping reports that this host stops. End is when the last answer must be sent;
// no query is in progress after it.
type Stopping struct {
	Now ident.Instant
	End ident.Instant
}

// Tick advances the engine's clock and handles what is due; see Engine.Next.
type Tick struct{ Now ident.Instant }

func (Install) isEvent()       {}
func (Listed) isEvent()        {}
func (Hosts) isEvent()         {}
func (Evacuated) isEvent()     {}
func (Arrive) isEvent()        {}
func (Gatherers) isEvent()     {}
func (DelegateEnded) isEvent() {}
func (Ended) isEvent()         {}
func (Granted) isEvent()       {}
func (Disconnected) isEvent()  {}
func (Abandoned) isEvent()     {}
func (Stopping) isEvent()      {}
func (Tick) isEvent()          {}

// Effect is an output of Engine.Step.
type Effect interface{ isEffect() }

// Call requests one call to an upstream, to be reported by Ended.
type Call struct {
	Query    ident.QueryID
	Attempt  ident.AttemptID
	Upstream Upstream
	// Limit is the time left for the call.
	Limit time.Duration
	// Connections is the maximum number of connections to this upstream.
	Connections int
}

// Stop requests that a call be cancelled, since its caller has disconnected.
type Stop struct{ Attempt ident.AttemptID }

// Delegate requests some shards of a query from the gatherer of another domain
// or from a helper. Only that host calls, hedges and retries them until
// DelegateEnded.
type Delegate struct {
	Query  ident.QueryID
	Group  int
	Domain ident.Domain
	// Helper, if set, is the host of this domain that gets the shards.
	Helper ident.HostID
	Shards []int
	// Version is the document of the query.
	Version rules.Version
	Limit   time.Duration
	// Target is how long the other host may take to answer in time.
	Target time.Duration
	// Cleared is set if an upstream has answered the request.
	Cleared bool
	// Draw is to be used by the other host as well.
	Draw quota.Draw
	// Rest asks for the shards that an earlier answer of that host left out since
	// their calls were in flight.
	Rest bool
}

// Abandon requests that another host stop its calls for shards that were delegated to
// it, since the caller has left. The host may have answered without them.
type Abandon struct {
	Request ident.RequestID
	Domain  ident.Domain
	// Helper, if set, is the host of this domain that got the shards.
	Helper  ident.HostID
	Shards  []int
	Version rules.Version
}

// Keep requests that the outcomes of calls be kept although their query ends, as
// the other host may ask for the rest. With a Query they belong to that one from
// now on.
type Keep struct {
	Attempts []ident.AttemptID
	Query    ident.QueryID
}

// Drop ends a Keep without a Query.
type Drop struct{ Attempts []ident.AttemptID }

// Eject reports that an upstream is excluded, or ranked last, for a while.
type Eject struct {
	Upstream ident.Upstream
	Service  ident.Service
	For      time.Duration
	Reason   string
}

// Report requests that demands be sent to the owner of the limits in a domain.
type Report struct {
	Domain  ident.Domain
	Demands []quota.Demand
}

// Limit reports that the limit of an upstream has changed. PerSecond is 0 once
// it has ended.
type Limit struct {
	Upstream  ident.Upstream
	Service   ident.Service
	PerSecond float64
	// Learned is set if another host told of it.
	Learned bool
}

// Departure reports that an upstream has said that it leaves or, if Stays is set,
// that it has taken that back.
type Departure struct {
	Upstream ident.Upstream
	Service  ident.Service
	Stays    bool
	// Learned is set if another host told of it.
	Learned bool
}

// Pause reports that an upstream wants no calls from this host for a while.
type Pause struct {
	Upstream ident.Upstream
	Service  ident.Service
	For      time.Duration
}

// Paced reports that an upstream counts as down, or that it has recovered and its
// calls grow from a few.
type Paced struct {
	Upstream ident.Upstream
	Service  ident.Service
	Down     bool
}

// Withheld reports that a call was not sent since the limits of all upstreams of
// the service are used up.
type Withheld struct{ Service ident.Service }

// Suspicion reports a change of what is held against a request.
type Suspicion struct {
	// Request is the id of a request that asks the same, empty if another host
	// told of it.
	Request ident.RequestID
	Print   blame.Print
	// Crashes is the number of crashes that count; 0 if the request was cleared.
	Crashes int
	// Upstream and Service are those of the last crash on this host.
	Upstream ident.Upstream
	Service  ident.Service
	Refused  bool
	Learned  bool
}

// Pass ends a query with the unchanged answer of one attempt.
type Pass struct {
	Query   ident.QueryID
	Attempt ident.AttemptID
}

// Merge ends a query with the Top highest-ranked records of the listed answers.
type Merge struct {
	Query    ident.QueryID
	Attempts []ident.AttemptID
	// Groups are the delegated groups whose answers are included.
	Groups  []int
	Missing int
	Top     int
	// Shards are the positions of the included shards. Tried lists the calls for
	// the others if the query was delegated to this host.
	Shards []int
	Tried  []Tried
	// Usual and Shed are those of DelegateEnded, if the query was delegated to this
	// host.
	Usual time.Duration
	Shed  int
	// Detail is set if parts are missing or the answer is late.
	Detail *Detail
}

// Refuse ends a query without an answer of an upstream.
type Refuse struct {
	Query  ident.QueryID
	Status Refusal
	// After is how long the caller should wait before it retries, for statuses
	// that guarantee that the request has not run.
	After  time.Duration
	Reason string
	// Cause classifies the reason for metrics; empty for other reasons.
	Cause Cause
	// Stopping is set if the query has not run only since this host stops, so that
	// another host may serve it.
	Stopping bool
	// Tried lists the calls for each shard of a query that was delegated to this
	// host. Usual and Shed are those of DelegateEnded.
	Tried []Tried
	Usual time.Duration
	Shed  int
	// Detail is set if a route was found.
	Detail *Detail
}

// Cause is why a query was refused that has not run.
type Cause string

// The causes.
const (
	// CauseGate is set if the gate did not admit a search, CauseShards if too many of
	// its shards were overloaded, paused or unreachable.
	CauseGate   Cause = "Gate"
	CauseShards Cause = "Shards"
	// CauseShare is set if the account has got its share of a service, CauseFull if the
	// upstreams of a service were full.
	CauseShare Cause = "Share"
	CauseFull  Cause = "Full"
	// CauseLimits is set if the limits of upstreams are used up.
	CauseLimits Cause = "Limits"
)

// Causes lists all causes.
func Causes() []Cause { return []Cause{CauseGate, CauseShards, CauseShare, CauseFull, CauseLimits} }

// Refusal is the kind of answer to a query that was not served.
type Refusal uint8

// The kinds of refusal.
const (
	// NoRoute means that no route matches.
	NoRoute Refusal = iota + 1
	// NoVersion means that this host does not have the requested version of the
	// document; the request has not run.
	NoVersion
	// NotNow means that no upstream could take the request in time; it has not
	// run and never will.
	NotNow
	// Failed means that upstreams failed; the request may have run.
	Failed
	// TimedOut means that the deadline was exceeded; the request may have run.
	TimedOut
)

func (Call) isEffect()      {}
func (Stop) isEffect()      {}
func (Delegate) isEffect()  {}
func (Abandon) isEffect()   {}
func (Keep) isEffect()      {}
func (Drop) isEffect()      {}
func (Eject) isEffect()     {}
func (Report) isEffect()    {}
func (Limit) isEffect()     {}
func (Departure) isEffect() {}
func (Pause) isEffect()     {}
func (Paced) isEffect()     {}
func (Withheld) isEffect()  {}
func (Suspicion) isEffect() {}
func (Pass) isEffect()      {}
func (Merge) isEffect()     {}
func (Refuse) isEffect()    {}

// Result is how a call to an upstream ended.
type Result uint8

// The results of a call.
const (
	// Good is a complete answer that reports success.
	Good Result = iota + 1
	// Bad is a complete answer that reports a failure after the request ran.
	Bad
	// Rejected is an answer that states that the request did not run.
	Rejected
	// Unsent means that nothing reached the upstream.
	Unsent
	// Lost means that the request was sent but no complete answer was received.
	Lost
)

var resultNames = [...]string{"", "Good", "Bad", "Rejected", "Unsent", "Lost"}

// String returns the name used in logs and metrics; it is empty while a call is
// in flight.
func (r Result) String() string { return resultNames[r] }

// ResultNames returns the names of all results of ended calls.
func ResultNames() []string { return resultNames[1:] }

// Upstream is one entry of the list of upstreams. Slots is the number of calls
// that it runs at once.
type Upstream struct {
	ID      ident.Upstream
	Service ident.Service
	Address string
	Domain  ident.Domain
	Slots   int
	// Born distinguishes incarnations of one ID; 0 if unknown.
	Born     int64
	Draining bool
	// Cold is how much longer the upstream is expected to be slow after its
	// start.
	Cold time.Duration
}

// Load is the load that an upstream reports in an answer. Known is false if the
// answer had none.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Effort is how long work takes on the upstream's machine now, as a multiple of the
	// usual; 0 if the answer does not say.
	Effort float64
}

const (
	// UnreadableLimit is the limit of an answer that states one that cannot be
	// read. The limit known before stays in force.
	UnreadableLimit = -1.0

	// LeastLimit replaces a limit of 0 calls per second, whose end no call would
	// find.
	LeastLimit = 0.01
)

// Answer describes an upstream's answer apart from its body.
type Answer struct {
	Status int
	// Stamp is the upstream's signature of the answer.
	Stamp string
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Moved is set if another upstream answers at the address.
	Moved bool
	// Encoded is set if the body is not the upstream's own bytes.
	Encoded bool
	Load    Load
	// Limit is the number of calls per second that the upstream takes from all
	// hosts together, 0 if it states none, or UnreadableLimit.
	Limit float64
	// Leaving is set if the upstream states that it leaves.
	Leaving bool
	// Pause is how long the upstream wants no calls from this host; 0 if it does
	// not say.
	Pause time.Duration
}
