package devel

import "github.com/jujubethread/jujubethread/internal/scene"

// Targets returns the targets of a load run: the entry hosts and, for
// comparison, a naive baseline that calls the same upstreams directly.
func (d *Deployment) Targets() []scene.Target {
	var entries []string
	for _, e := range d.Entries {
		entries = append(entries, e.Address())
	}
	var leaves []scene.Leaf
	for i, l := range d.Shape.Leaves {
		leaves = append(leaves, scene.Leaf{
			Upstream: l.Upstream,
			Control:  d.Leaves[i].ControlAddress(),
		})
	}
	return []scene.Target{
		{
			Name:    "jujubethread",
			Policy:  scene.Entry,
			Entries: entries,
			Leaves:  leaves,
		},
		{
			Name:   "plain",
			Policy: scene.Plain,
			Leaves: leaves,
		},
	}
}
