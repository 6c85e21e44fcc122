package leaf

import (
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
	if i, found := slices.BinarySearch(s.versions, v); !found {
		s.versions = slices.Insert(s.versions, i, v)
	}
}

func (s *store) dropVersion(v ident.IndexVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, found := slices.BinarySearch(s.versions, v); found {
		s.versions = slices.Delete(s.versions, i, i+1)
	}
}

func (s *store) holdShard(shard ident.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, found := slices.BinarySearch(s.shards, shard); !found {
		s.shards = slices.Insert(s.shards, i, shard)
	}
}

func (s *store) dropShard(shard ident.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, found := slices.BinarySearch(s.shards, shard); found {
		s.shards = slices.Delete(s.shards, i, i+1)
	}
}
