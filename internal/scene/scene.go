// Package scene defines the scenario files of the load tool: which requests the
// callers send, to which targets, and which faults occur at which times. It
// also injects the faults.
package scene

import (
	"path"
	"time"

	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name string `json:"Name"`
	// Seed determines arrival times and search terms, which are the same for all
	// targets.
	Seed uint64 `json:"Seed"`
	// DocumentSeed is the seed that the stand-in upstreams run with.
	DocumentSeed uint64 `json:"DocumentSeed"`
	// Versions are the index versions at the start; a RollOver adds another.
	Versions []ident.IndexVersion `json:"Versions"`
	// Mix names a built-in set of flows: amman or kr-cap. Its rates are scaled
	// so that they add up to PerSecond.
	Mix       string  `json:"Mix,omitempty"`
	PerSecond float64 `json:"PerSecond,omitempty"`
	// Flows replaces Mix; only one of them may be set.
	Flows []Flow `json:"Flows,omitempty"`
	// WarmupMillis is the time at the start whose requests are verified but not
	// measured.
	WarmupMillis   ident.Millis `json:"WarmupMillis"`
	DurationMillis ident.Millis `json:"DurationMillis"`
	// Together loads all targets concurrently instead of one after the other.
	// The targets must then not share upstreams.
	Together bool     `json:"Together,omitempty"`
	Targets  []Target `json:"Targets"`
	Events   []Event  `json:"Events,omitempty"`
}

// Flow is a stream of requests of one kind.
type Flow struct {
	Name      string       `json:"Name"`
	Index     ident.Index  `json:"Index"`
	Class     preset.Class `json:"Class"`
	PerSecond float64      `json:"PerSecond"`
	// DeadlineMillis is sent with each request; 0 means that of the preset.
	DeadlineMillis ident.Millis `json:"DeadlineMillis,omitempty"`
	// Limit is the maximum number of documents in an answer; 0 means all.
	Limit int `json:"Limit,omitempty"`
	// Terms are the terms of all searches of the flow; empty draws them at random.
	Terms string `json:"Terms,omitempty"`
	// Filing sends filings instead of searches.
	Filing bool `json:"Filing,omitempty"`
	// ResendPercent of the filings are sent again under the same id although
	// they were answered, like a caller that did not receive the answer.
	ResendPercent float64 `json:"ResendPercent,omitempty"`
}

// Policy selects the client that sends the requests to a target.
type Policy string

// The policies. Plain and Retry are baselines: the load tool itself fans out to
// the upstreams, without the tier.
const (
	Entry Policy = "Entry" // through the entry hosts
	Plain Policy = "Plain" // fan-out without hedges or retries
	Retry Policy = "Retry" // fan-out with up to 3 attempts and no retry budget
)

// Target is a deployment under load, or a baseline to compare it with.
type Target struct {
	Name   string `json:"Name"`
	Policy Policy `json:"Policy"`
	// Entries are the addresses (IP:port) of the entry hosts.
	Entries []string `json:"Entries,omitempty"`
	// Leaves are the stand-in upstreams; LeavesFile names a file with a JSON
	// list of them instead.
	Leaves     []Leaf `json:"Leaves,omitempty"`
	LeavesFile string `json:"LeavesFile,omitempty"`
	// Proxies is the control address (IP:port) of the fault proxies, if any.
	Proxies string `json:"Proxies,omitempty"`
}

// Leaf is a stand-in upstream and the address (IP:port) of its control
// listener.
type Leaf struct {
	Upstream config.Upstream `json:"Upstream"`
	Control  string          `json:"Control"`
}

// Action is what an event does.
type Action string

// The actions. They are undone after ForMillis, except that RollOver and Move
// are completed then, and Mark has no end.
const (
	Slow      Action = "Slow"      // Fraction of the requests take Factor times as long
	Lost      Action = "Lost"      // upstreams stop answering
	Kill      Action = "Kill"      // upstreams break all connections
	Shed      Action = "Shed"      // upstreams shed Fraction of the requests
	Crash     Action = "Crash"     // searches for Terms end the upstreams that begin to run them
	Limit     Action = "Limit"     // upstreams name a limit of PerSecond for all hosts together
	Faulty    Action = "Faulty"    // upstreams misbehave according to Faults
	Drain     Action = "Drain"     // upstreams answer Draining
	Cold      Action = "Cold"      // upstreams start cold
	RollOver  Action = "RollOver"  // Version is added, and the previous one dropped after ForMillis
	Move      Action = "Move"      // Shard is added at the upstreams To, and dropped at Match after ForMillis
	Partition Action = "Partition" // fault proxies whose names match Match withhold all traffic until the end
	Hook      Action = "Hook"      // executed by the program that runs the scenario; Match is the name of the hook
	Surge     Action = "Surge"     // flows whose names match Match send at Factor times their rate
	Mark      Action = "Mark"      // only shown in the report
)

// Event is an action at a planned time, mostly a fault.
type Event struct {
	// AtMillis counts from the end of the warm-up.
	AtMillis ident.Millis `json:"AtMillis"`
	// ForMillis is the time until the event is undone; 0 means until the end of
	// the load.
	ForMillis ident.Millis `json:"ForMillis,omitempty"`
	Do        Action       `json:"Do"`
	// Label is the title in the report; if empty, action and Match are shown.
	Label string `json:"Label,omitempty"`
	// Match is a pattern in the syntax of path.Match for the ids of upstreams or
	// the names of proxies or flows, for example "review-panel-*-1". An empty
	// Match matches all upstreams or flows.
	Match string `json:"Match,omitempty"`
	// Domain restricts the event to the upstreams of a failure domain.
	Domain ident.Domain `json:"Domain,omitempty"`
	// Target restricts the event to one target; empty means all.
	Target   string  `json:"Target,omitempty"`
	Fraction float64 `json:"Fraction,omitempty"`
	Factor   float64 `json:"Factor,omitempty"`
	// Terms are the terms of the searches that end upstreams, for Crash.
	Terms string `json:"Terms,omitempty"`
	// PerSecond is the limit of searches per second that a Limit names.
	PerSecond float64 `json:"PerSecond,omitempty"`
	// SpreadMillis is the time over which the event reaches its upstreams one
	// after the other, such as a roll-over.
	SpreadMillis ident.Millis       `json:"SpreadMillis,omitempty"`
	Version      ident.IndexVersion `json:"Version,omitempty"`
	Shard        ident.Shard        `json:"Shard,omitempty"`
	To           string             `json:"To,omitempty"`
	Faults       *leaf.Faults       `json:"Faults,omitempty"`
	// OneWay makes a Partition withhold only traffic towards the targets of the
	// proxies.
	OneWay bool `json:"OneWay,omitempty"`
}

// Title returns the title of the event in a report.
func (e Event) Title() string {
	if e.Label != "" {
		return e.Label
	}
	if e.Match == "" {
		return string(e.Do)
	}
	return string(e.Do) + " " + e.Match
}

// TotalDuration returns the duration of the load including the warm-up.
func (s *Scenario) TotalDuration() time.Duration {
	return (s.WarmupMillis + s.DurationMillis).Duration()
}

// SurgeFactor returns the factor by which surges multiply the rate of a flow.
// at is the time since the start of the load.
func (s *Scenario) SurgeFactor(flow, target string, at time.Duration) float64 {
	factor := 1.0
	for _, e := range s.Events {
		if e.Do != Surge || (e.Target != "" && e.Target != target) {
			continue
		}
		begin := (s.WarmupMillis + e.AtMillis).Duration()
		end := begin + e.ForMillis.Duration()
		if e.ForMillis == 0 {
			end = s.TotalDuration()
		}
		matches, err := path.Match(e.Match, flow)
		if at >= begin && at < end && (e.Match == "" || (matches && err == nil)) {
			factor *= e.Factor
		}
	}
	return factor
}

// AllVersions returns the index versions that exist at any time of the run.
func (s *Scenario) AllVersions() []ident.IndexVersion {
	list := append([]ident.IndexVersion(nil), s.Versions...)
	for _, e := range s.Events {
		if e.Do == RollOver {
			list = append(list, e.Version)
		}
	}
	return list
}
