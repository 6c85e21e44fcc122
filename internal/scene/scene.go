// Package scene defines the scenario files of the load tool: which callers ask
// what, against which targets, and which faults happen when. It also carries
// the faults out.
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
	// Seed decides arrivals and search terms. All targets get the same ones.
	Seed uint64 `json:"Seed"`
	// DocumentSeed is the seed that the stand-in upstreams run with.
	DocumentSeed uint64 `json:"DocumentSeed"`
	// Versions are the index versions at the start; roll-overs add theirs.
	Versions []ident.IndexVersion `json:"Versions"`
	// Mix names a built-in set of flows: amman or kr-cap. Its rates are scaled
	// so that they add up to PerSecond.
	Mix       string  `json:"Mix,omitempty"`
	PerSecond float64 `json:"PerSecond,omitempty"`
	// Flows are given instead of Mix.
	Flows []Flow `json:"Flows,omitempty"`
	// WarmupMillis at the start are verified but not measured.
	WarmupMillis   ident.Millis `json:"WarmupMillis"`
	DurationMillis ident.Millis `json:"DurationMillis"`
	// Together loads all targets at the same time instead of one after the
	// other. They must not share upstreams then.
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
	// DeadlineMillis is sent with each request; 0 leaves it to the preset.
	DeadlineMillis ident.Millis `json:"DeadlineMillis,omitempty"`
	// Limit is the number of documents wanted; 0 means all.
	Limit int `json:"Limit,omitempty"`
	// Filing sends filings instead of searches.
	Filing bool `json:"Filing,omitempty"`
	// ResendPercent of the filings are sent again under the same id although
	// they were answered, as a caller does that lost the answer.
	ResendPercent float64 `json:"ResendPercent,omitempty"`
}

// Policy says who answers the requests to a target.
type Policy string

// The policies. Plain and Retry are baselines that the load tool carries out
// itself against the upstreams.
const (
	Entry Policy = "Entry" // entry hosts
	Plain Policy = "Plain" // fan-out without hedges or retries
	Retry Policy = "Retry" // fan-out with up to 3 tries and no budget
)

// Target is something to load and compare.
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

// Leaf is a stand-in upstream and the address of its control path.
type Leaf struct {
	Upstream config.Upstream `json:"Upstream"`
	Control  string          `json:"Control"`
}

// Action is what an event does.
type Action string

// The actions. They are undone when ForMillis is over; RollOver and Move are
// completed then, and Mark has no end.
const (
	Slow      Action = "Slow"      // Fraction of the requests take Factor times as long
	Lost      Action = "Lost"      // upstreams stop answering
	Kill      Action = "Kill"      // upstreams break all connections
	Shed      Action = "Shed"      // upstreams shed Fraction of the requests
	Faulty    Action = "Faulty"    // Faults are in force
	Drain     Action = "Drain"     // upstreams answer Draining
	Cold      Action = "Cold"      // upstreams start cold
	RollOver  Action = "RollOver"  // Version is added, and the one before dropped when ForMillis is over
	Move      Action = "Move"      // Shard is added at the upstreams To, and dropped at Match when ForMillis is over
	Partition Action = "Partition" // fault proxies with names that fit Match hold everything back
	Hook      Action = "Hook"      // the program that runs the scenario does it; Match is the name
	Surge     Action = "Surge"     // callers send Factor times as much; Match is a pattern for names of flows
	Mark      Action = "Mark"      // only marked in the report
)

// Event is a fault at a time.
type Event struct {
	// AtMillis counts from the end of the warm-up.
	AtMillis ident.Millis `json:"AtMillis"`
	// ForMillis is the time until the event is undone; 0 means at the end.
	ForMillis ident.Millis `json:"ForMillis,omitempty"`
	Do        Action       `json:"Do"`
	// Label is shown in the report; the action is, if it is empty.
	Label string `json:"Label,omitempty"`
	// Match is a pattern of package path for the ids of upstreams or the names
	// of proxies, for example "review-panel-*-1". Empty fits all upstreams.
	Match string `json:"Match,omitempty"`
	// Domain restricts the event to the upstreams of a failure domain.
	Domain ident.Domain `json:"Domain,omitempty"`
	// Target restricts the event to one target; empty means all.
	Target   string  `json:"Target,omitempty"`
	Fraction float64 `json:"Fraction,omitempty"`
	Factor   float64 `json:"Factor,omitempty"`
	// SpreadMillis is the time over which a roll-over reaches the upstreams.
	SpreadMillis ident.Millis       `json:"SpreadMillis,omitempty"`
	Version      ident.IndexVersion `json:"Version,omitempty"`
	Shard        ident.Shard        `json:"Shard,omitempty"`
	To           string             `json:"To,omitempty"`
	Faults       *leaf.Faults       `json:"Faults,omitempty"`
	// OneWay holds back only what is sent to the target of the proxies.
	OneWay bool `json:"OneWay,omitempty"`
}

// Title is the text for the event in a report.
func (e Event) Title() string {
	if e.Label != "" {
		return e.Label
	}
	if e.Match == "" {
		return string(e.Do)
	}
	return string(e.Do) + " " + e.Match
}

// Whole is the time from the start to the end of the load.
func (s *Scenario) Whole() time.Duration {
	return (s.WarmupMillis + s.DurationMillis).Duration()
}

// Surge returns the factor on the rate of a flow at a time from the start of
// the load.
func (s *Scenario) Surge(flow, target string, at time.Duration) float64 {
	factor := 1.0
	for _, e := range s.Events {
		if e.Do != Surge || (e.Target != "" && e.Target != target) {
			continue
		}
		begin := (s.WarmupMillis + e.AtMillis).Duration()
		end := begin + e.ForMillis.Duration()
		if e.ForMillis == 0 {
			end = s.Whole()
		}
		fits, err := path.Match(e.Match, flow)
		if at >= begin && at < end && (e.Match == "" || (fits && err == nil)) {
			factor *= e.Factor
		}
	}
	return factor
}

// AllVersions lists the versions that exist at some time of the run.
func (s *Scenario) AllVersions() []ident.IndexVersion {
	list := append([]ident.IndexVersion(nil), s.Versions...)
	for _, e := range s.Events {
		if e.Do == RollOver {
			list = append(list, e.Version)
		}
	}
	return list
}
