// Package ident defines the named types for identifiers, versions and time
// that every other package of jujubethread shares.
package ident

import (
	"strconv"
	"time"
)

// HostID names one host that runs a jujubethread process. Stable across
// restarts of an entry host; a control host gets a new one with a new data folder.
type HostID string

// Domain names a failure domain.
type Domain string

// Index names a collection of shards that is searched as one, for example
// "review-panel".
type Index string

// Service names a set of upstreams that are replicas of the same shards.
type Service string

// Shard names one shard of an index. Unique within a deployment.
type Shard string

// Upstream names one leaf process that answers for shards.
type Upstream string

// RequestID is the caller's name for one request. It is echoed end to end and
// makes filings idempotent.
type RequestID string

// CommandID is an operator's name for one command; resending a command with
// the same id returns its first outcome.
type CommandID string

// QueryID numbers the queries of one entry host process.
type QueryID uint64

// AttemptID numbers the attempts of one entry host process. Never reused
// within a process.
type AttemptID uint64

// IndexVersion names one snapshot of an index. Higher is newer; zero means
// unknown.
type IndexVersion uint64

// ConfigVersion orders configurations. Epoch rises only when an operator
// rebuilds the control group from a backup.
type ConfigVersion struct {
	Epoch  uint64 `json:"Epoch"`
	Number uint64 `json:"Number"`
}

// Less reports whether v is older than w.
func (v ConfigVersion) Less(w ConfigVersion) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Number < w.Number
}

// String returns the version as "epoch.number".
func (v ConfigVersion) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Number, 10)
}

// Instant is a point in time as nanoseconds since the start of the process
// that owns the state. It is monotonic and never compared between processes.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// Millis is a duration in whole milliseconds, used in documents.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }
