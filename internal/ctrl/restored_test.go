package ctrl_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a control host that starts from an older copy of its folder, and offers
// a configuration that has been replaced or leads with it.
func TestRestoredFolderOffersNothingOlder(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, nil)
	leader, _ := g.leader(-1)
	restored := (leader + 1) % 3
	g.run(leader, "before")
	g.await(5*time.Second, "all have the first change", func() bool {
		return g.status(restored).Version == g.status(leader).Version
	})
	g.stop(restored)
	backup := filepath.Join(t.TempDir(), "backup")
	is.NoErr(os.CopyFS(backup, os.DirFS(g.configs[restored].Folder)))
	g.start(restored)
	for i := range 5 {
		g.run(leader, fmt.Sprint("withdrawn", i))
	}
	want := g.status(leader)
	g.stop(restored)
	is.NoErr(os.RemoveAll(g.configs[restored].Folder))
	is.NoErr(os.CopyFS(g.configs[restored].Folder, os.DirFS(backup)))
	g.start(restored)
	g.await(10*time.Second, "the restored host has caught up", func() bool {
		s := g.status(restored)
		if s.Lease && s.Version != want.Version {
			t.Fatalf("the restored host leads with version %v instead of %v", s.Version, want.Version)
		}
		return s.Version == want.Version && s.Digest == want.Digest
	})
	g.stop(leader)
	next, _ := g.leader(leader)
	is.Equal(g.status(next).Version, want.Version)
}
