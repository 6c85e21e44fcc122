package synth_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/internal/synth"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

var shards = []ident.Shard{"s/1", "s/2", "s/3", "s/4", "s/5", "s/6", "s/7", "s/8"}

// Guards against a per-shard limit that drops a document of the merged answer:
// the verifier would then report correct answers as wrong.
func TestLimitPerShardKeepsMergedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		terms := rapid.String().Draw(t, "terms")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		best := make(map[string]engine.Document)
		for _, s := range shards {
			for _, d := range synth.Documents(seed, s, 7, terms, limit) {
				if old, found := best[d.ID]; !found || d.Revision > old.Revision {
					best[d.ID] = d
				}
			}
		}
		var merged []engine.Document
		for _, d := range best {
			merged = append(merged, d)
		}
		synth.Sort(merged)
		if limit > 0 && len(merged) > limit {
			merged = merged[:limit]
		}
		if want := synth.Merge(seed, shards, 7, terms, limit); !slices.Equal(merged, want) {
			t.Fatalf("merged %v, want %v", merged, want)
		}
	})
}

// Guards against documents that do not depend on seed, version or terms: the
// verifier would then miss mixed versions and answers to other queries.
func TestDocumentsDifferByInput(t *testing.T) {
	is := is.New(t)
	base := synth.Merge(1, shards, 7, "candidate 17", 0)
	is.True(len(base) > len(shards))
	is.Equal(base, synth.Merge(1, shards, 7, "candidate 17", 0))
	for _, other := range [][]engine.Document{
		synth.Merge(2, shards, 7, "candidate 17", 0),
		synth.Merge(1, shards, 8, "candidate 17", 0),
		synth.Merge(1, shards, 7, "candidate 18", 0),
	} {
		for _, d := range other {
			is.True(!slices.Contains(base, d))
		}
	}
}
