package config

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Command is an operator's request for one change.
type Command struct {
	ID ident.CommandID `json:"ID"`
	// Expect is the version the operator saw; any other current version is a conflict.
	Expect ident.ConfigVersion `json:"Expect"`
	Change Change              `json:"Change"`
}

// OutcomeKind is the kind of result of a command.
type OutcomeKind string

// The kinds of outcome. Unknown is only produced by the side that lost the answer.
const (
	Accepted OutcomeKind = "Accepted"
	Conflict OutcomeKind = "Conflict"
	NotRun   OutcomeKind = "NotRun"
	Unknown  OutcomeKind = "Unknown"
)

// Outcome is the result of a command.
type Outcome struct {
	Kind OutcomeKind `json:"Kind"`
	// Version is the version after an accepted command, else the current one.
	Version ident.ConfigVersion `json:"Version"`
	// Changed lists what changed since the expected version, newest last. Bounded.
	Changed []string `json:"Changed,omitempty"`
	// Remedy says what the operator can do. Empty when accepted.
	Remedy string `json:"Remedy,omitempty"`
}

// Machine is the replicated state machine of the configuration: the state,
// the outcomes of recent commands and a short history of changes.
type Machine struct {
	State *State `json:"State"`
	// Recent holds the last outcomes in order of arrival.
	Recent []Handled `json:"Recent"`
	// History holds the last changes in order of version.
	History []Touch `json:"History"`

	byID map[ident.CommandID]Outcome
}

// Handled is one command id with its outcome.
type Handled struct {
	ID      ident.CommandID `json:"ID"`
	Outcome Outcome         `json:"Outcome"`
}

// Touch is one entry of the history of changes.
type Touch struct {
	Version ident.ConfigVersion `json:"Version"`
	What    string              `json:"What"`
}

// NewMachine returns a machine at s with no history.
func NewMachine(s *State) *Machine { return &Machine{State: s} }

// Run applies one command. A command id that was handled before returns its
// first outcome and changes nothing.
func (m *Machine) Run(c Command) Outcome {
	m.index()
	if out, ok := m.byID[c.ID]; ok {
		return out
	}
	out := m.run(c)
	m.remember(c.ID, out)
	return out
}

// Handled returns the outcome of a command id that was run before.
func (m *Machine) Handled(id ident.CommandID) (Outcome, bool) {
	m.index()
	out, ok := m.byID[id]
	return out, ok
}

func (m *Machine) run(c Command) Outcome {
	if c.Expect != m.State.Version {
		return Outcome{
			Kind:    Conflict,
			Version: m.State.Version,
			Changed: m.since(c.Expect),
			Remedy:  "look at what changed and send a new command that expects version " + m.State.Version.String(),
		}
	}
	next, err := m.State.Apply(c.Change)
	if err != nil {
		return Outcome{
			Kind:    NotRun,
			Version: m.State.Version,
			Remedy:  err.Error(),
		}
	}
	m.State = next
	m.History = appendBounded(m.History, Touch{
		Version: next.Version,
		What:    c.Change.Touches(),
	}, keptTouches)
	return Outcome{
		Kind:    Accepted,
		Version: next.Version,
	}
}

func (m *Machine) since(v ident.ConfigVersion) []string {
	var changed []string
	for _, t := range m.History {
		if v.Less(t.Version) {
			changed = append(changed, t.Version.String()+": "+t.What)
		}
	}
	return changed
}

func (m *Machine) remember(id ident.CommandID, out Outcome) {
	if len(m.Recent) >= keptCommands {
		delete(m.byID, m.Recent[0].ID)
	}
	m.Recent = appendBounded(m.Recent, Handled{
		ID:      id,
		Outcome: out,
	}, keptCommands)
	m.byID[id] = out
}

func (m *Machine) index() {
	if m.byID != nil {
		return
	}
	m.byID = make(map[ident.CommandID]Outcome, len(m.Recent))
	for _, h := range m.Recent {
		m.byID[h.ID] = h.Outcome
	}
}

// appendBounded appends v and drops the oldest items over limit.
func appendBounded[T any](list []T, v T, limit int) []T {
	list = append(list, v)
	if len(list) > limit {
		list = slices.Delete(list, 0, len(list)-limit)
	}
	return list
}
