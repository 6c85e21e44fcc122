// Package ident defines the named types for identifiers, versions and time
// that every other package of jujubethread shares.
package ident

import (
	"strconv"
	"time"
)

// HostID identifies one host that runs a jujubethread process. The id of an
// entry host is stable across restarts; that of a control host is stored in its
// data folder, so that a new data folder brings a new id.
type HostID string

// Account names a customer on whose behalf callers send requests. Keys, limits and
// priorities belong to accounts.
type Account string

// Domain names a failure domain.
type Domain string

// Index names a collection of shards that is searched as one, for example
// "review-panel".
type Index string

// Service names a set of upstreams that are replicas of the same shards.
type Service string

// Shard names one shard of an index. Unique within a deployment.
type Shard string

// Upstream names one leaf process, which serves one or more shards.
type Upstream string

// RequestID is the identifier that the caller chose for one request. It is
// passed on to the upstreams and returned in the answer, and it is the
// idempotency key of a filing.
type RequestID string

// CommandID is the identifier that an operator chose for one command. It is an
// idempotency key: a command that is sent again with the same id is not run
// again but returns its first outcome.
type CommandID string

// QueryID numbers the queries of one entry host process.
type QueryID uint64

// AttemptID numbers the attempts of one entry host process. Never reused
// within a process.
type AttemptID uint64

// IndexVersion names one snapshot of an index. Higher is newer; zero means
// unknown.
type IndexVersion uint64

// ConfigVersion orders configurations, by Epoch and then by Number. Epoch
// rises only when an operator rebuilds the control group from a backup, Number
// with each change.
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

// Instant is a point on the monotonic clock of one process, in nanoseconds
// since that process started. Instants of different processes must not be
// compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// Millis is a duration in whole milliseconds, as written in presets.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }
