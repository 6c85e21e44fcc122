// Package follow keeps the configuration of an entry host up to date: which
// source it subscribes to, how gaps and wrong digests lead to a full copy, and
// how it learns from peers that it is behind. It is a reducer without clock or
// I/O.
package follow

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Delta is one configuration change as it is sent to entry hosts.
type Delta struct {
	// Version is the version after the change.
	Version ident.ConfigVersion `json:"Version"`
	Change  config.Change       `json:"Change"`
	// Digest is the digest of the state after the change.
	Digest uint64 `json:"Digest"`
}
