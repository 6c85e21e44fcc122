package leaf

import (
	"cmp"
	"slices"
	"sync"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// store records the shards and index versions that the upstream serves. Every
// shard is available at every version.
type store struct {
	mu       sync.Mutex
	shards   []ident.Shard
	versions []ident.IndexVersion
}

func newStore(shards []ident.Shard, versions []ident.IndexVersion) *store {
	s := &store{}
	s.replace(shards, versions)
	return s
}

func (s *store) replace(shards []ident.Shard, versions []ident.IndexVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = slices.Sorted(slices.Values(shards))
	s.versions = slices.Sorted(slices.Values(versions))
}

// admit returns "" if the upstream serves the shard at the version, otherwise
// the kind of failure.
func (s *store) admit(shard ident.Shard, v ident.IndexVersion) engine.FailKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.shards, shard) {
		return engine.WrongShard
	}
	if !slices.Contains(s.versions, v) {
		return engine.VersionGone
	}
	return ""
}

func (s *store) hasShard(shard ident.Shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.shards, shard)
}

func (s *store) held() []engine.Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]engine.Held, 0, len(s.shards))
	for _, shard := range s.shards {
		list = append(list, engine.Held{
			Shard:    shard,
			Versions: slices.Clone(s.versions),
		})
	}
	return list
}

func (s *store) addVersion(v ident.IndexVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = insertSorted(s.versions, v)
}

func (s *store) dropVersion(v ident.IndexVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = removeSorted(s.versions, v)
}

func (s *store) addShard(shard ident.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = insertSorted(s.shards, shard)
}

func (s *store) dropShard(shard ident.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = removeSorted(s.shards, shard)
}

// insertSorted adds a value to a sorted list without duplicates.
func insertSorted[T cmp.Ordered](list []T, v T) []T {
	if i, found := slices.BinarySearch(list, v); !found {
		return slices.Insert(list, i, v)
	}
	return list
}

func removeSorted[T cmp.Ordered](list []T, v T) []T {
	if i, found := slices.BinarySearch(list, v); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
