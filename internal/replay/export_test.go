package replay

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Reseal recomputes the digests of edited lines.
func Reseal(lines []string) ([]string, error) {
	var head Header
	if err := json.Unmarshal([]byte(lines[0]), &head); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	c := newChain(raw)
	out := []string{string(raw)}
	for _, text := range lines[1:] {
		var l line
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			return nil, err
		}
		l.Digest = c.next(&l)
		raw, err := json.Marshal(l)
		if err != nil {
			return nil, err
		}
		out = append(out, string(raw))
	}
	return out, nil
}

// figuresOf replays the events of a record, changes the effects that the reducer
// returns, and returns the figures that its monitor counts.
func figuresOf[E, F any](text string, codec Codec[E], newReducer func(Header) (Step[E, F], monitor[E, F], error), change func(F) []F) (map[string]int64, error) {
	in := jsonl.NewReader(strings.NewReader(text))
	var head Header
	if err := in.Read(&head); err != nil {
		return nil, err
	}
	step, m, err := newReducer(head)
	if err != nil {
		return nil, err
	}
	for {
		var l line
		if err := in.Read(&l); err == io.EOF || l.Type == typeOutcome {
			break
		} else if err != nil {
			return nil, err
		}
		ev, err := codec.decode(l.Type, l.Event)
		if err != nil {
			return nil, err
		}
		var effects []F
		for _, ef := range step(l.At, ev) {
			effects = append(effects, change(ef)...)
		}
		m.figures.line = &l
		m.observe(l.At, ev, effects)
	}
	out := make(map[string]int64)
	for name, f := range m.figures.byName {
		out[name] = f.value
	}
	return out, nil
}

// Functions that return the figures of each reducer with changed effects.
var (
	EngineFigures = func(text string, change func(engine.Effect) []engine.Effect) (map[string]int64, error) {
		return figuresOf(text, EngineEvents, newEngine, change)
	}
	FilingFigures = func(text string, change func(filing.Effect) []filing.Effect) (map[string]int64, error) {
		return figuresOf(text, FilingEvents, newFiling, change)
	}
	LedgerFigures = func(text string, change func(ledger.Result) []ledger.Result) (map[string]int64, error) {
		return figuresOf(text, LedgerCommands, newLedger, change)
	}
	ConfigFigures = func(text string, change func(config.Outcome) []config.Outcome) (map[string]int64, error) {
		return figuresOf(text, ConfigCommands, newConfig, change)
	}
	FollowFigures = func(text string, change func(follow.Effect) []follow.Effect) (map[string]int64, error) {
		return figuresOf(text, FollowEvents, newFollow, change)
	}
	TableFigures = func(text string, change func(member.Effect) []member.Effect) (map[string]int64, error) {
		return figuresOf(text, TableEvents, newTable, change)
	}
	HolderFigures = func(text string, change func(member.HolderEffect) []member.HolderEffect) (map[string]int64, error) {
		return figuresOf(text, HolderEvents, newHolder, change)
	}
	QuorumFigures = func(text string, change func(quorum.Effect) []quorum.Effect) (map[string]int64, error) {
		return figuresOf(text, QuorumEvents, newQuorum, change)
	}
)
