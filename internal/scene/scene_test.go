package scene_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/fault"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/sample"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// schema is the part of a JSON schema that the test reads.
type schema struct {
	Properties map[string]any    `json:"properties"`
	Defs       map[string]schema `json:"$defs"`
}

// Guards against a schema whose fields differ from those of the decoder.
func TestSchemaNamesTheFields(t *testing.T) {
	is := is.New(t)
	doc, err := os.ReadFile("../../docs/scenario.schema.json")
	is.NoErr(err)
	var s schema
	is.NoErr(json.Unmarshal(doc, &s))
	for _, c := range []struct {
		props map[string]any
		kind  reflect.Type
	}{
		{s.Properties, reflect.TypeFor[scene.Scenario]()},
		{s.Defs["Flow"].Properties, reflect.TypeFor[scene.Flow]()},
		{s.Defs["Target"].Properties, reflect.TypeFor[scene.Target]()},
		{s.Defs["Leaf"].Properties, reflect.TypeFor[scene.Leaf]()},
		{s.Defs["Upstream"].Properties, reflect.TypeFor[config.Upstream]()},
		{s.Defs["Event"].Properties, reflect.TypeFor[scene.Event]()},
		{s.Defs["Faults"].Properties, reflect.TypeFor[leaf.Faults]()},
	} {
		var fields, props []string
		for i := range c.kind.NumField() {
			name, _, _ := strings.Cut(c.kind.Field(i).Tag.Get("json"), ",")
			fields = append(fields, name)
		}
		for p := range c.props {
			props = append(props, p)
		}
		slices.Sort(fields)
		slices.Sort(props)
		is.Equal(fields, props)
	}
}

func target() scene.Target {
	t := scene.Target{
		Name:   "plain",
		Policy: scene.Plain,
	}
	d := sample.Thesiswell(0.1, func(config.Upstream) string { return "127.0.0.1:1" })
	d.Leaves = append(d.Leaves, sample.Hanbit(0.1, func(config.Upstream) string { return "127.0.0.1:1" }).Leaves...)
	for _, u := range d.Upstreams() {
		t.Leaves = append(t.Leaves, scene.Leaf{Upstream: u})
	}
	return t
}

// Guards against built-in scenarios that do not pass their own checks.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	is.True(len(scene.Examples()) >= 5)
	for _, name := range scene.Examples() {
		s, err := scene.Example(name)
		is.NoErr(err)
		s.Targets = []scene.Target{target()}
		for i := range s.Events {
			s.Events[i].Match = strings.Replace(s.Events[i].Match, "-3-", "-1-", 1) // the small deployment has fewer services
		}
		is.NoErr(s.Check())
	}
}

// Guards against a leaves file that cannot be read back, or that is not looked
// for in the folder of the scenario file.
func TestLeavesFile(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f, err := os.Create(filepath.Join(dir, "leaves.json"))
	is.NoErr(err)
	is.NoErr(scene.WriteLeaves(f, target().Leaves))
	is.NoErr(f.Close())
	file := filepath.Join(dir, "scenario.json")
	is.NoErr(os.WriteFile(file, []byte(`{"Name":"x","Versions":[1],"DurationMillis":1,"Mix":"amman","PerSecond":1,
		"Targets":[{"Name":"t","Policy":"Plain","LeavesFile":"leaves.json"}]}`), 0o600))
	s, err := scene.Load(file)
	is.NoErr(err)
	is.Equal(s.Targets[0].Leaves, target().Leaves)
	is.NoErr(os.WriteFile(filepath.Join(dir, "leaves.json"), []byte(`[{"Address":"127.0.0.1:1"}]`), 0o600))
	_, err = scene.Load(file)
	is.True(err != nil && strings.Contains(err.Error(), "Address"))
}

// Guards against mistakes in a scenario that show only during a run.
func TestBadScenariosAreRefused(t *testing.T) {
	for _, c := range []struct{ doc, problem string }{
		{`{"Name":"x","Versions":[1],"DurationMillis":1,"Mix":"amman","PerSecond":1,"Target":[]}`, "Target"},
		{`{"Name":"x","DurationMillis":1,"Mix":"amman","PerSecond":1}`, "Versions"},
		{`{"Name":"x","Versions":[1],"DurationMillis":1,"Mix":"amman","PerSecond":1}`, "Targets"},
		{`{"Name":"x","Versions":[1],"DurationMillis":1,"Mix":"oslo","PerSecond":1,"Targets":[{}]}`, "Mix"},
		{`{"Name":"x","Versions":[1],"DurationMillis":1,"Flows":[{"Name":"f","Index":"a"}],"Targets":[{}]}`, "PerSecond"},
		{`{"Name":"x","Versions":[1],"DurationMillis":1,"Mix":"amman","PerSecond":1,"Targets":[{"Name":"t","Policy":"Entry"}]}`, "Entries"},
	} {
		_, err := scene.Parse([]byte(c.doc))
		if err == nil || !strings.Contains(err.Error(), c.problem) {
			t.Errorf("%s gives %v, want an error that names %s", c.doc, err, c.problem)
		}
	}
	good := scene.Scenario{
		Versions:       []ident.IndexVersion{1},
		DurationMillis: 10,
		Mix:            "amman",
		PerSecond:      1,
		Targets:        []scene.Target{target()},
	}
	for _, e := range []scene.Event{
		{Do: "Explode"},
		{Do: scene.Slow},
		{Do: scene.Surge},
		{Do: scene.Lost, Match: "no-such-*"},
		{Do: scene.Lost, Match: "["},
		{Do: scene.Partition, Match: "*"},
		{Do: scene.Move, Shard: "a"},
		{Do: scene.Mark, AtMillis: 11},
	} {
		s := good
		s.Events = []scene.Event{e}
		if s.Check() == nil {
			t.Errorf("event %+v is accepted", e)
		}
	}
	is.New(t).NoErr(good.Check())
}

// Guards against a partition that affects the wrong connections or does not end.
func TestPartitionSetsProxies(t *testing.T) {
	is := is.New(t)
	var configs []fault.Config
	for _, name := range []string{"entry-1>control-1", "entry-2>control-1"} {
		configs = append(configs, fault.Config{Name: name, Listen: "127.0.0.1:0", Target: "127.0.0.1:1"})
	}
	g, err := fault.NewGroup(configs)
	is.NoErr(err)
	for _, p := range g.Proxies() {
		defer p.Close()
	}
	control := httptest.NewServer(g.Handler())
	defer control.Close()
	r := scene.NewRemoteExecutor(scene.Target{Proxies: strings.TrimPrefix(control.URL, "http://")}, nil)
	defer r.Close()
	e := scene.Event{Do: scene.Partition, Match: "entry-1>*", OneWay: true}
	is.NoErr(r.Do(context.Background(), e, true))
	is.Equal(g.Proxies()[0].Rules(), fault.Rules{Forward: fault.Path{Blackhole: true}})
	is.Equal(g.Proxies()[1].Rules(), fault.Rules{})
	is.NoErr(r.Do(context.Background(), e, false))
	is.Equal(g.Proxies()[0].Rules(), fault.Rules{})
	e.Match = "entry-3>*"
	is.True(r.Do(context.Background(), e, true) != nil)
}

// Guards against a surge that affects other flows, targets or times.
func TestSurge(t *testing.T) {
	is := is.New(t)
	s := &scene.Scenario{
		WarmupMillis:   1_000,
		DurationMillis: 9_000,
		Events: []scene.Event{
			{Do: scene.Surge, Factor: 2, AtMillis: 1_000, ForMillis: 2_000},
			{Do: scene.Surge, Factor: 3, AtMillis: 2_000, Match: "clause *", Target: "t"},
		},
	}
	is.Equal(s.SurgeFactor("clause lookup", "t", 1_900*time.Millisecond), 1.0)
	is.Equal(s.SurgeFactor("clause lookup", "t", 2*time.Second), 2.0)
	is.Equal(s.SurgeFactor("clause lookup", "t", 3*time.Second), 6.0)
	is.Equal(s.SurgeFactor("clause lookup", "u", 3*time.Second), 2.0)
	is.Equal(s.SurgeFactor("saved letter", "t", 9*time.Second), 1.0)
}

type recorder struct{ done chan scene.Execution }

func (r *recorder) Do(_ context.Context, e scene.Event, on bool) error {
	r.done <- scene.Execution{Event: e, On: on}
	return nil
}

// Guards against faults that stay active after an interrupted run.
func TestInterruptedRunUndoesItsEvents(t *testing.T) {
	is := is.New(t)
	s := &scene.Scenario{
		DurationMillis: 3_600_000,
		Events: []scene.Event{
			{Do: scene.Lost},
			{Do: scene.Mark},
			{Do: scene.Kill, AtMillis: 1_800_000},
			{Do: scene.Shed, Target: "other"},
		},
	}
	r := &recorder{done: make(chan scene.Execution, 9)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan []scene.Execution, 1)
	go func() { ended <- s.Play(ctx, time.Now(), "t", r, nil) }()
	<-r.done
	<-r.done // Lost and Mark, in any order
	cancel()
	undone := <-r.done
	is.Equal(undone.Event.Do, scene.Lost)
	is.Equal(undone.On, false)
	is.Equal(len(<-ended), 3)
}

// slowExecutor executes the start of an event slowly.
type slowExecutor struct {
	mu    sync.Mutex
	calls []bool
}

func (s *slowExecutor) Do(_ context.Context, _ scene.Event, on bool) error {
	if on {
		time.Sleep(30 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, on)
	return nil
}

// Guards against a fault that stays active because its end overtook its start.
func TestEventEndsAfterItsStart(t *testing.T) {
	is := is.New(t)
	s := &scene.Scenario{
		DurationMillis: 10,
		Events:         []scene.Event{{Do: scene.Lost, ForMillis: 1}},
	}
	executor := &slowExecutor{}
	s.Play(context.Background(), time.Now(), "t", executor, nil)
	is.Equal(executor.calls, []bool{true, false})
}

// Guards against events that affect the wrong upstreams, overwrite each other's
// faults or are not undone.
func TestRemoteActsOnUpstreams(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	tgt := scene.Target{Name: "t"}
	var leaves []*leaf.Leaf
	ended := make(chan error, 2)
	for _, u := range sample.Thesiswell(0.01, func(config.Upstream) string { return "127.0.0.1:0" }).Upstreams()[:2] {
		l, err := leaf.New(leaf.Config{Upstream: u, Control: "127.0.0.1:0", Versions: []ident.IndexVersion{1}})
		is.NoErr(err)
		go func() { ended <- l.Run(ctx) }()
		leaves = append(leaves, l)
		tgt.Leaves = append(tgt.Leaves, scene.Leaf{Upstream: u, Control: l.ControlAddress()})
	}
	r := scene.NewRemoteExecutor(tgt, nil)
	do := func(e scene.Event, on bool) { is.NoErr(r.Do(ctx, e, on)) }
	slow := scene.Event{Do: scene.Slow, Match: "*-1", Fraction: 0.5, Factor: 2}
	do(slow, true)
	do(scene.Event{Do: scene.Lost}, true)
	is.Equal(leaves[0].Faults(), leaf.Faults{SlowFraction: 0.5, SlowFactor: 2, Lost: true})
	is.Equal(leaves[1].Faults(), leaf.Faults{Lost: true})
	do(slow, false)
	is.Equal(leaves[0].Faults(), leaf.Faults{Lost: true})
	is.True(r.Do(ctx, scene.Event{Do: scene.Hook, Match: "x"}, true) != nil)
	leaves[1].DropVersion(1)
	is.NoErr(r.Reset(ctx, []ident.IndexVersion{4, 5}))
	is.Equal(leaves[0].Faults(), leaf.Faults{})
	stats, err := r.Stats(ctx)
	is.NoErr(err)
	is.Equal(stats[1].Upstream, tgt.Leaves[1].Upstream.ID)
	r.Close()
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
}

// Guards against a scenario file that makes the tool panic.
func FuzzParse(f *testing.F) {
	for _, name := range scene.Examples() {
		doc, err := os.ReadFile(filepath.Join("example", name+".json"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(doc)
	}
	f.Add([]byte(`{"Name":"x","Versions":[1],"DurationMillis":9,"Flows":[{"Name":"f","Index":"a","PerSecond":1}],
		"Targets":[{"Name":"t","Policy":"Plain","Leaves":[{"Upstream":{"ID":"u","Index":"a","Shards":["a/1"]}}]}],
		"Events":[{"AtMillis":1,"Do":"Slow","Match":"u*","Fraction":0.5,"Factor":2}]}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		s, err := scene.Parse(doc)
		if err != nil {
			return
		}
		if _, err := s.ResolveFlows(); err != nil || s.TotalDuration() <= 0 {
			t.Fatalf("accepted a scenario of duration %s whose flows resolve with error %v", s.TotalDuration(), err)
		}
	})
}
