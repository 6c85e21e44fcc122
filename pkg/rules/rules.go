// Package rules defines the forwarding configuration, a versioned document that
// tells by which route a request is forwarded, to which services and within
// which limits. A document is checked before use and immutable afterwards.
package rules

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Version numbers documents. The operator chooses it; the document with the
// highest version is the active one.
type Version uint64

// Kind tells whether the requests of a route may be repeated.
type Kind uint8

// The kinds of route.
const (
	// Idempotent requests may run more than once, so they can be retried and
	// hedged.
	Idempotent Kind = iota + 1
	// AtMostOnce requests run at most once each time the caller sends them: no
	// retry follows when an upstream may have run one.
	AtMostOnce
)

// Document is one version of the forwarding configuration.
type Document struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKey is set if requests on routes that are not public must carry the key
	// of an account.
	RequiresKey bool
	Accounts    []Account
}

// Route tells how requests with one host name and path prefix are forwarded.
// Exactly one of Backends and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Target is the latency up to which an answer is as useful to the caller as
	// an immediate one.
	Target time.Duration
	// Priority ranks routes for load shedding; 0 is the most important.
	Priority int
	// Attempts is the number of upstreams that may run a request, per shard if
	// the route fans out.
	Attempts int
	// Backends are the services of a route that does not fan out. Each request
	// goes to one of them, chosen in proportion to the weights.
	Backends []Backend
	// Shards are the services of a route that fans out. Each request goes to
	// all of them, and their parts are merged into one answer.
	Shards []ident.Service
	// TopK is the largest number of records in a merged answer.
	TopK int
	// MinShardFraction is the smallest fraction of shards, 0 to 1, from which an
	// answer is made. With fewer parts the request fails.
	MinShardFraction float64
	// Public is set if requests need no key.
	Public bool
}

// Gathers reports whether the route fans out to shards, so that the parts of
// their answers are gathered.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// MinParts returns the smallest number of parts from which an answer is made: at
// least one, and at least the fraction MinShardFraction of all shards.
func (r *Route) MinParts() int {
	n := len(r.Shards)
	for parts := 1; parts <= n; parts++ {
		if float64(parts)/float64(n) >= r.MinShardFraction {
			return parts
		}
	}
	return n
}

// Backend is one service of a route with its weight. Weights are relative and
// need not add up to 1 or 100.
type Backend struct {
	Service ident.Service
	Weight  float64
}

// Service holds the settings of one service.
type Service struct {
	Name ident.Service
	// HealthPath is the path of the health check. A healthy upstream answers it
	// with status 200.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts
	// from all hosts together.
	MaxConnections int
	// ColdTime is how long an upstream is slow after its start; 0 if the service does
	// not say. Its upstreams get a slow start if it does.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that an upstream takes from all hosts
	// together during that time, 0 for no limit.
	ColdRate float64
}

// Limits bound the requests that a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
