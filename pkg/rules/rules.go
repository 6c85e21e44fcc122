// Package rules is the forwarding configuration as one versioned document:
// which route a request takes, which services answer for it and within which
// bounds. A document is checked as a whole and never changed afterwards.
package rules

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Version numbers documents. The operator chooses it; the highest is in force.
type Version uint64

// Kind tells what may be repeated on a route.
type Kind uint8

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once requests run at most once for each attempt of the caller.
	Once
)

// Document is one version of the configuration.
type Document struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says where requests of one host and path prefix go. Exactly one of
// Backends and Shards is filled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// Target is the latency within which an answer has its full worth.
	Target time.Duration
	// Priority ranks routes under load; 0 is the highest.
	Priority int
	// Attempts is the number of upstreams that may run one request, for each shard.
	Attempts int
	// Backends share the requests in proportion to their weights.
	Backends []Backend
	// Shards each contribute one part to an answer.
	Shards []ident.Service
	// Top is the number of records in an answer over shards.
	Top int
	// Least is the share of shards without which there is no answer, 0 to 1.
	Least float64
}

// Gathers reports whether the route fans out over shards.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// LeastParts returns the smallest number of parts that make an answer.
func (r *Route) LeastParts() int {
	n := len(r.Shards)
	for k := 1; k <= n; k++ {
		if float64(k)/float64(n) >= r.Least {
			return k
		}
	}
	return n
}

// Backend is one service of a route with its weight.
type Backend struct {
	Service ident.Service
	Weight  float64
}

// Service holds what a document says of one service.
type Service struct {
	Name ident.Service
	// HealthPath answers 200 while an upstream is healthy.
	HealthPath string
	// Connections is what one upstream accepts from all hosts together.
	Connections int
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
