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

var update = flag.Bool("update", false, "write the traces under testdata/traces anew")

func run(t *testing.T, path string) replay.Report {
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

// Guards against a reducer that decides otherwise than recorded or breaks a
// stated outcome, and against traces that are too large to keep.
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
		rep := run(t, tr.Path(folder))
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

// Guards against a generator that depends on map order or the clock: traces
// could then not be made again.
func TestTracesAreMadeAgainAlike(t *testing.T) {
	is := is.New(t)
	temp := t.TempDir()
	for _, tr := range golden.List() {
		is.NoErr(tr.Write(temp))
		want, err := os.ReadFile(tr.Path(folder))
		is.NoErr(err)
		got, err := os.ReadFile(tr.Path(temp))
		is.NoErr(err)
		if !bytes.Equal(got, want) {
			t.Errorf("%s: the generator writes another trace: see docs/traces.md", tr.Name)
		}
	}
}
