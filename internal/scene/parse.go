package scene

import (
	"bytes"
	"embed"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	maxScenarioBytes = 16 << 20
	maxFlowRate      = 100_000.0 // requests per second of one flow
	maxRunMillis     = 24 * 60 * 60 * 1_000
)

//go:embed example/*.json
var examples embed.FS

// Examples returns the names of the built-in scenarios.
func Examples() []string {
	files, err := fs.Glob(examples, "example/*.json")
	if err != nil {
		panic("the pattern is constant: " + err.Error())
	}
	for i, f := range files {
		files[i] = strings.TrimSuffix(path.Base(f), ".json")
	}
	return files
}

// Example returns a built-in scenario. It has no targets; the caller adds them.
func Example(name string) (*Scenario, error) {
	doc, err := examples.ReadFile("example/" + name + ".json")
	if err != nil {
		return nil, errors.Errorf("scenario %q does not exist: use one of %s", name, strings.Join(Examples(), ", "))
	}
	s, err := decode(doc)
	return s, errors.Wrapf(err, "scenario %q", name)
}

// Load reads and checks a scenario file and the leaves files that it names.
func Load(file string) (*Scenario, error) {
	doc, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "scenario cannot be read: check the file name")
	}
	s, err := decode(doc)
	if err != nil {
		return nil, errors.Wrapf(err, "scenario file %s, compare it with docs/scenario.schema.json", file)
	}
	for i := range s.Targets {
		if err := s.Targets[i].readLeaves(filepath.Dir(file)); err != nil {
			return nil, err
		}
	}
	return s, s.Check()
}

// Parse decodes and checks a scenario without reading leaves files. The error
// for an unknown field names it.
func Parse(doc []byte) (*Scenario, error) {
	s, err := decode(doc)
	if err != nil {
		return nil, err
	}
	return s, s.Check()
}

func decode(doc []byte) (*Scenario, error) {
	var s Scenario
	if err := wire.DecodeStrict(bytes.NewReader(doc), maxScenarioBytes, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// WriteLeaves writes leaves as JSON, in the format of a LeavesFile.
func WriteLeaves(w io.Writer, leaves []Leaf) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(leaves), "leaves file cannot be written")
}

func (t *Target) readLeaves(dir string) error {
	if t.LeavesFile == "" {
		return nil
	}
	file := t.LeavesFile
	if !filepath.IsAbs(file) {
		file = filepath.Join(dir, file)
	}
	doc, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrapf(err, "LeavesFile of target %q cannot be read: check the file name", t.Name)
	}
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t.Leaves); err != nil {
		return errors.Wrapf(err, "LeavesFile %s cannot be decoded: give a list of Upstream and Control", file)
	}
	return nil
}

// Check returns an error that names the first invalid field and its remedy, or
// nil.
func (s *Scenario) Check() error {
	switch {
	case len(s.Versions) == 0:
		return errors.New("Versions is empty: list the index versions at the start")
	case s.DurationMillis < 1 || s.DurationMillis > maxRunMillis:
		return errors.Errorf("DurationMillis is %d: use 1 to %d", s.DurationMillis, int64(maxRunMillis))
	case s.WarmupMillis < 0 || s.WarmupMillis > maxRunMillis:
		return errors.Errorf("WarmupMillis is %d: use 0 to %d", s.WarmupMillis, int64(maxRunMillis))
	case s.Mix != "" && len(s.Flows) > 0:
		return errors.New("Mix and Flows are both given: give one of them")
	case len(s.Targets) == 0:
		return errors.New("Targets is empty: give at least one target")
	}
	if _, err := s.ResolveFlows(); err != nil {
		return err
	}
	for i, t := range s.Targets {
		if err := t.check(s.Targets[:i]); err != nil {
			return err
		}
	}
	for i, e := range s.Events {
		if err := e.check(s); err != nil {
			return errors.Wrapf(err, "event %d (%s)", i+1, e.Title())
		}
	}
	return nil
}

func (t Target) check(earlier []Target) error {
	if t.Name == "" {
		return errors.New("a target has no Name: give it one")
	}
	for _, other := range earlier {
		if other.Name == t.Name {
			return errors.Errorf("two targets have the name %q: give each its own", t.Name)
		}
	}
	switch {
	case t.Policy == Entry && len(t.Entries) == 0:
		return errors.Errorf("target %q has no Entries: give the addresses of its entry hosts", t.Name)
	case t.Policy != Entry && t.Policy != Plain && t.Policy != Retry:
		return errors.Errorf("target %q has Policy %q: use Entry, Plain or Retry", t.Name, t.Policy)
	case len(t.Leaves) == 0:
		return errors.Errorf("target %q has no Leaves: the answers are verified against them", t.Name)
	}
	return nil
}

func (e Event) check(s *Scenario) error {
	if e.AtMillis < 0 || e.AtMillis > s.DurationMillis {
		return errors.Errorf("AtMillis is %d: use 0 to DurationMillis (%d)", e.AtMillis, s.DurationMillis)
	}
	if e.ForMillis < 0 || e.SpreadMillis < 0 {
		return errors.New("ForMillis and SpreadMillis must not be negative: use 0 or more")
	}
	if _, err := path.Match(e.Match, ""); err != nil {
		return errors.Errorf("Match is %q: use a name, with * for any part of it", e.Match)
	}
	switch {
	case e.Fraction < 0 || e.Fraction > 1:
		return errors.Errorf("Fraction is %v: use 0 to 1", e.Fraction)
	case e.Do == Slow && (e.Fraction == 0 || e.Factor <= 0):
		return errors.New("Slow needs Fraction and Factor: give both, above 0")
	case e.Do == Surge && e.Factor <= 0:
		return errors.New("Surge needs Factor: give one above 0")
	case e.Do == Shed && e.Fraction == 0:
		return errors.New("Shed needs Fraction: give one above 0, up to 1")
	case e.Do == Crash && e.Terms == "":
		return errors.New("Crash needs Terms: give those of the searches that end upstreams")
	case e.Do == Limit && e.PerSecond <= 0:
		return errors.New("Limit needs PerSecond: give the limit of the upstreams, above 0")
	case e.Do == Faulty && e.Faults == nil:
		return errors.New("Faulty needs Faults: give the faults of the upstreams")
	case e.Do == RollOver && e.Version < 2:
		return errors.New("RollOver needs Version: give the new index version, 2 or more")
	case e.Do == Move && (e.Shard == "" || e.To == "" || e.Match == ""):
		return errors.New("Move needs Shard, Match and To: give the shard, its old upstream and its new one")
	case (e.Do == Partition || e.Do == Hook) && e.Match == "":
		return errors.Errorf("%s needs Match: give the name of the proxies or the hook", e.Do)
	}
	return e.checkNames(s)
}

func (e Event) checkNames(s *Scenario) error {
	switch e.Do {
	case Slow, Lost, Kill, Shed, Crash, Limit, Faulty, Drain, Cold, RollOver, Move, Partition, Hook, Surge, Mark:
	default:
		return errors.Errorf("Do is %q: use one of the actions in docs/scenario.schema.json", e.Do)
	}
	for _, t := range s.Targets {
		if e.Target != "" && e.Target != t.Name {
			continue
		}
		if e.actsOnUpstreams() && len(e.leaves(t)) == 0 {
			return errors.Errorf("no upstream of target %q matches Match %q and Domain %q: correct Match or Domain", t.Name, e.Match, e.Domain)
		}
		if e.Do == Partition && t.Proxies == "" {
			return errors.Errorf("target %q has no Proxies: give the control address of its fault proxies", t.Name)
		}
	}
	return nil
}

func (e Event) actsOnUpstreams() bool {
	return e.Do != Partition && e.Do != Hook && e.Do != Surge && e.Do != Mark
}

// leaves returns the upstreams of the target that match Match and Domain.
func (e Event) leaves(t Target) []Leaf {
	var list []Leaf
	for _, l := range t.Leaves {
		matches, err := path.Match(e.Match, string(l.Upstream.ID))
		if (e.Match == "" || (matches && err == nil)) && (e.Domain == "" || e.Domain == l.Upstream.Domain) {
			list = append(list, l)
		}
	}
	return list
}

// Shards returns the distinct shards of an index in the order of the leaves.
func (t Target) Shards(index ident.Index) []ident.Shard {
	var list []ident.Shard
	seen := make(map[ident.Shard]bool)
	for _, l := range t.Leaves {
		for _, s := range l.Upstream.Shards {
			if l.Upstream.Index == index && !seen[s] {
				seen[s] = true
				list = append(list, s)
			}
		}
	}
	return list
}

// Indexes returns the distinct indexes of the target in the order of its
// leaves.
func (t Target) Indexes() []ident.Index {
	var list []ident.Index
	seen := make(map[ident.Index]bool)
	for _, l := range t.Leaves {
		if !seen[l.Upstream.Index] {
			seen[l.Upstream.Index] = true
			list = append(list, l.Upstream.Index)
		}
	}
	return list
}
