package golden_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/golden"
	"github.com/jujubethread/jujubethread/internal/replay"
)

const folder = "../../testdata/traces"

var update = flag.Bool("update", false, "rewrite the traces under testdata/traces")

func replayFile(t *testing.T, path string) replay.Report {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rep, err := replay.Run(f)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return rep
}

// Guards against a reducer whose effects or final figures differ from the
// recorded trace, and against traces that are too large for the repository.
func TestTracesReplay(t *testing.T) {
	is := is.New(t)
	var total int64
	events, effects, stated, differences := 0, 0, 0, 0
	for _, tr := range golden.List() {
		if *update {
			if err := tr.Write(folder); err != nil {
				t.Errorf("%s: %v", tr.Name, err)
				continue
			}
		}
		rep := replayFile(t, tr.Path(folder))
		if rep.Difference != nil {
			t.Errorf("%s: %s", tr.Name, rep.Difference)
			differences++
		}
		is.True(rep.Ended || rep.Difference != nil)
		is.True(rep.Outcomes > 0 || rep.Difference != nil)
		info, err := os.Stat(tr.Path(folder))
		is.NoErr(err)
		is.True(info.Size() <= 150<<10)
		total += info.Size()
		events, effects, stated = events+rep.Events, effects+rep.Effects, stated+rep.Outcomes
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	is.NoErr(err)
	is.Equal(len(files), len(golden.List())) // no trace without a generator
	is.True(total <= 4<<20)
	t.Logf("%d traces, %d bytes, %d events, %d effects, %d outcomes, %d differences", len(files), total, events, effects, stated, differences)
}

// Guards against a generator that depends on map order or on the system clock:
// it could not write the same traces again.
func TestTracesAreReproducible(t *testing.T) {
	is := is.New(t)
	temp := t.TempDir()
	for _, tr := range golden.List() {
		is.NoErr(tr.Write(temp))
		want, err := os.ReadFile(tr.Path(folder))
		is.NoErr(err)
		got, err := os.ReadFile(tr.Path(temp))
		is.NoErr(err)
		if !bytes.Equal(got, want) {
			t.Errorf("%s: the generated trace differs from the stored one: see docs/traces.md", tr.Name)
		}
	}
}
