package leaf

import (
	"net/http"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Paths of the control listener. A POST answers the Stats after the change,
// unless noted.
const (
	PathStats    = "/control/stats"    // GET, answers Stats
	PathFilings  = "/control/filings"  // GET, answers a list of FilingRuns
	PathFaults   = "/control/faults"   // GET and POST Faults
	PathDrain    = "/control/drain"    // POST Switch
	PathCold     = "/control/cold"     // POST Switch; On starts a cold start
	PathVersions = "/control/versions" // POST VersionChange
	PathShards   = "/control/shards"   // POST ShardChange
	PathReset    = "/control/reset"    // POST Reset
	PathRan      = "/control/ran"      // POST RanRequest, answers a list of request ids
)

// Switch is the body that turns a drain or a cold start on or off.
type Switch struct {
	On bool `json:"On"`
}

// VersionChange adds and drops an index version; zero means none.
type VersionChange struct {
	Add  ident.IndexVersion `json:"Add,omitempty"`
	Drop ident.IndexVersion `json:"Drop,omitempty"`
}

// ShardChange adds and drops a shard; empty means none.
type ShardChange struct {
	Hold ident.Shard `json:"Hold,omitempty"`
	Drop ident.Shard `json:"Drop,omitempty"`
}

// Reset ends all faults and the drain and replaces the index versions and shards
// of the upstream, so that every experiment starts from the same state.
type Reset struct {
	Versions []ident.IndexVersion `json:"Versions"`
	Shards   []ident.Shard        `json:"Shards"`
	// Remember is the number of latest searches recorded for Ran, at most
	// maxRememberedIDs.
	Remember int `json:"Remember,omitempty"`
}

// RanRequest lists the request ids to look up among the latest searches that ran.
type RanRequest struct {
	Requests []ident.RequestID `json:"Requests"`
}

const maxControlBytes = 1 << 20

func (l *Leaf) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		_ = wire.Reply(w, http.StatusOK, l.Stats())
	})
	mux.HandleFunc("GET "+PathFilings, func(w http.ResponseWriter, _ *http.Request) {
		_ = wire.Reply(w, http.StatusOK, l.Filings())
	})
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		_ = wire.Reply(w, http.StatusOK, l.Faults())
	})
	mux.HandleFunc("POST "+PathFaults, handleChange(l, l.SetFaults))
	mux.HandleFunc("POST "+PathDrain, handleChange(l, func(s Switch) { l.Drain(s.On) }))
	mux.HandleFunc("POST "+PathCold, handleChange(l, func(s Switch) {
		if s.On {
			l.StartCold()
		}
	}))
	mux.HandleFunc("POST "+PathVersions, handleChange(l, func(v VersionChange) {
		if v.Add != 0 {
			l.AddVersion(v.Add)
		}
		if v.Drop != 0 {
			l.DropVersion(v.Drop)
		}
	}))
	mux.HandleFunc("POST "+PathShards, handleChange(l, func(s ShardChange) {
		if s.Hold != "" {
			l.AddShard(s.Hold)
		}
		if s.Drop != "" {
			l.DropShard(s.Drop)
		}
	}))
	mux.HandleFunc("POST "+PathRan, func(w http.ResponseWriter, r *http.Request) {
		var body RanRequest
		if err := wire.DecodeStrict(r.Body, maxControlBytes, &body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = wire.Reply(w, http.StatusOK, l.Ran(body.Requests))
	})
	mux.HandleFunc("POST "+PathReset, handleChange(l, l.Reset))
	return mux
}

// handleChange returns a handler that decodes a body strictly, applies it and
// answers the Stats after it.
func handleChange[T any](l *Leaf, apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if err := wire.DecodeStrict(r.Body, maxControlBytes, &body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(body)
		_ = wire.Reply(w, http.StatusOK, l.Stats())
	}
}
