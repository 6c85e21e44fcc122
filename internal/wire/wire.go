// Package wire defines the HTTP/JSON protocols between callers, entry hosts
// and upstreams, and decoders that bound size and reject malformed bodies.
package wire

import (
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Paths served by upstreams.
const (
	PathLeafSearch = "/v1/leaf/search" // POST LeafSearch, returns engine.Answer
	PathLeafFile   = "/v1/leaf/file"   // POST LeafFile, returns LeafFiled
	PathLeafHealth = "/v1/leaf/health" // GET, returns LeafHealth
)

// Paths served by entry hosts to callers.
const (
	PathSearch  = "/v1/search"  // POST SearchRequest, returns SearchAnswer
	PathFilings = "/v1/filings" // POST FilingRequest, returns FilingAnswer
	PathHealth  = "/healthz"
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"
)

// Headers of the caller interface.
const (
	HeaderRequestID = "Request-Id"
	HeaderClass     = "Priority-Class"
	HeaderDeadline  = "Deadline-Millis"
	HeaderTrace     = "Traceparent"
)

// LeafSearch requests from an upstream the matches in one shard at one index
// version.
type LeafSearch struct {
	Request         ident.RequestID    `json:"Request"`
	Attempt         ident.AttemptID    `json:"Attempt"`
	Index           ident.Index        `json:"Index"`
	Shard           ident.Shard        `json:"Shard"`
	Version         ident.IndexVersion `json:"Version"`
	Terms           string             `json:"Terms"`
	Limit           int                `json:"Limit"`
	Class           preset.Class       `json:"Class"`
	RemainingMicros int64              `json:"RemainingMicros"`
}

// LeafFile requests that an upstream run a filing once. Fence is the number of
// the reservation that permits it.
type LeafFile struct {
	Request         ident.RequestID `json:"Request"`
	Fence           uint64          `json:"Fence"`
	Shard           ident.Shard     `json:"Shard"`
	Body            string          `json:"Body"`
	RemainingMicros int64           `json:"RemainingMicros"`
}

// LeafFiled is the answer to a filing that ran.
type LeafFiled struct {
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	Receipt string          `json:"Receipt"`
}

// LeafHealth is an upstream's health report.
type LeafHealth struct {
	Health engine.Health `json:"Health"`
	Load   engine.Load   `json:"Load"`
	Held   []engine.Held `json:"Held"`
}

// LeafError is the body of every upstream answer whose status is not 200.
// Whatever the Kind, a filing did not run; a search may have started if the
// Kind is TimedOut.
type LeafError struct {
	Kind   engine.FailKind `json:"Kind"`
	Remedy string          `json:"Remedy"`
	Held   []engine.Held   `json:"Held,omitempty"`

	// Request and, for a search, Attempt or, for a filing, Fence are those of the
	// call that is answered. Without them the connection is not used again, since a
	// second copy that arrives late could not be told from the answer to the next
	// call.
	Request ident.RequestID `json:"Request,omitempty"`
	Attempt ident.AttemptID `json:"Attempt,omitempty"`
	Fence   uint64          `json:"Fence,omitempty"`
}

// Names reports whether the error names the call that it answers.
func (e LeafError) Names() bool { return e.Request != "" }

// SameCall reports whether two errors name the same call.
func (e LeafError) SameCall(o LeafError) bool {
	return e.Request == o.Request && e.Attempt == o.Attempt && e.Fence == o.Fence
}

// SearchRequest is a caller's search. Class and DeadlineMillis may be given in
// headers instead; the body takes precedence.
type SearchRequest struct {
	Index          ident.Index  `json:"Index"`
	Terms          string       `json:"Terms"`
	Limit          int          `json:"Limit,omitempty"`
	Class          string       `json:"Class,omitempty"`
	DeadlineMillis ident.Millis `json:"DeadlineMillis,omitempty"`
}

// SearchAnswer is the answer to a search, also to a rejected one.
type SearchAnswer struct {
	RequestID ident.RequestID    `json:"RequestID"`
	Outcome   engine.Outcome     `json:"Outcome"`
	Version   ident.IndexVersion `json:"Version"`
	Preset    preset.Name        `json:"Preset"`
	Coverage  engine.Coverage    `json:"Coverage"`
	Documents []engine.Document  `json:"Documents"`
	Remedy    string             `json:"Remedy,omitempty"`
}

// FilingRequest is a caller's filing. It runs at most once for each request id.
type FilingRequest struct {
	Index ident.Index `json:"Index"`
	Body  string      `json:"Body"`
}

// FilingAnswer is the answer to a filing.
type FilingAnswer struct {
	RequestID ident.RequestID `json:"RequestID"`
	Outcome   engine.Outcome  `json:"Outcome"` // Done, NotRun or Unknown
	Receipt   string          `json:"Receipt,omitempty"`
	Remedy    string          `json:"Remedy,omitempty"`
}
