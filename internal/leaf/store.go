package leaf

import (
	"cmp"
	"slices"
	"sync"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// store knows which shards the upstream holds at which versions.
type store struct {
	mu       sync.Mutex
	shards   []ident.Shard
	versions []ident.IndexVersion
}

func newStore(shards []ident.Shard, versions []ident.IndexVersion) *store {
	s := &store{}
	s.set(shards, versions)
	return s
}

func (s *store) set(shards []ident.Shard, versions []ident.IndexVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = slices.Sorted(slices.Values(shards))
	s.versions = slices.Sorted(slices.Values(versions))
}

// find returns "" when the upstream can answer for the shard at the version.
func (s *store) find(shard ident.Shard, v ident.IndexVersion) engine.FailKind {
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

func (s *store) holds(shard ident.Shard) bool {
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
	s.versions = with(s.versions, v)
}

func (s *store) dropVersion(v ident.IndexVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = without(s.versions, v)
}

func (s *store) holdShard(shard ident.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = with(s.shards, shard)
}

func (s *store) dropShard(shard ident.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = without(s.shards, shard)
}

// with puts a value into a sorted list that holds each value once.
func with[T cmp.Ordered](list []T, v T) []T {
	if i, found := slices.BinarySearch(list, v); !found {
		return slices.Insert(list, i, v)
	}
	return list
}

func without[T cmp.Ordered](list []T, v T) []T {
	if i, found := slices.BinarySearch(list, v); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
