// Package spread distributes the configuration to entry hosts: which source a
// host subscribes to, how gaps and wrong digests lead to a full copy, and how
// peers find out that they are behind. It is a reducer without clock or I/O.
package spread

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Delta is one change of the configuration as it is distributed.
type Delta struct {
	// Version is the version after the change.
	Version ident.ConfigVersion `json:"Version"`
	Change  config.Change       `json:"Change"`
	// Digest is the digest of the state after the change.
	Digest uint64 `json:"Digest"`
}
