package config

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Command is an operator's request for one change.
type Command struct {
	ID ident.CommandID `json:"ID"`
	// Expect is the version that the operator based the change on. The command
	// is a conflict if it is not the current version.
	Expect ident.ConfigVersion `json:"Expect"`
	Change Change              `json:"Change"`
}

// OutcomeKind tells whether a command took effect.
type OutcomeKind string

// The kinds of outcome. Conflict and NotRun changed nothing. A machine never
// returns Unknown: it is what the sender reports when no answer arrived.
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
	// Changed lists the changes since the expected version, the newest last, as
	// far as the history reaches back. It is set in conflicts.
	Changed []string `json:"Changed,omitempty"`
	// Remedy tells the operator what to do next. It is empty if the command was
	// accepted.
	Remedy string `json:"Remedy,omitempty"`
}

// Machine is the replicated state machine of the configuration. The exported
// fields are its snapshot.
type Machine struct {
	State *State `json:"State"`
	// Recent holds the last maxRecent outcomes, the oldest first.
	Recent []CompletedCommand `json:"Recent"`
	// History holds the last maxHistory changes, the oldest first.
	History []HistoryEntry `json:"History"`

	// byID indexes Recent; nil until it is first needed, as after a restore.
	byID map[ident.CommandID]Outcome
}

// CompletedCommand is the id and outcome of a command that was run.
type CompletedCommand struct {
	ID      ident.CommandID `json:"ID"`
	Outcome Outcome         `json:"Outcome"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	// Version is the version that the change led to.
	Version ident.ConfigVersion `json:"Version"`
	Summary string              `json:"What"`
}

// NewMachine returns a machine in state s, without recent commands or history.
func NewMachine(s *State) *Machine { return &Machine{State: s} }

// Run applies one command. A command whose id is among the recent ones changes
// nothing and returns its first outcome.
func (m *Machine) Run(c Command) Outcome {
	m.buildIndex()
	if out, ok := m.byID[c.ID]; ok {
		return out
	}
	out := m.run(c)
	m.record(c.ID, out)
	return out
}

// Handled returns the outcome of a recent command.
func (m *Machine) Handled(id ident.CommandID) (Outcome, bool) {
	m.buildIndex()
	out, ok := m.byID[id]
	return out, ok
}

func (m *Machine) run(c Command) Outcome {
	if c.Expect != m.State.Version {
		return Outcome{
			Kind:    Conflict,
			Version: m.State.Version,
			Changed: m.changesSince(c.Expect),
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
	m.History = appendBounded(m.History, HistoryEntry{
		Version: next.Version,
		Summary: c.Change.Summary(),
	}, maxHistory)
	return Outcome{
		Kind:    Accepted,
		Version: next.Version,
	}
}

func (m *Machine) changesSince(v ident.ConfigVersion) []string {
	var changed []string
	for _, e := range m.History {
		if v.Less(e.Version) {
			changed = append(changed, e.Version.String()+": "+e.Summary)
		}
	}
	return changed
}

func (m *Machine) record(id ident.CommandID, out Outcome) {
	if len(m.Recent) >= maxRecent {
		delete(m.byID, m.Recent[0].ID)
	}
	m.Recent = appendBounded(m.Recent, CompletedCommand{
		ID:      id,
		Outcome: out,
	}, maxRecent)
	m.byID[id] = out
}

func (m *Machine) buildIndex() {
	if m.byID != nil {
		return
	}
	m.byID = make(map[ident.CommandID]Outcome, len(m.Recent))
	for _, c := range m.Recent {
		m.byID[c.ID] = c.Outcome
	}
}

// appendBounded appends v and drops the first items beyond limit.
func appendBounded[T any](list []T, v T, limit int) []T {
	list = append(list, v)
	if len(list) > limit {
		list = slices.Delete(list, 0, len(list)-limit)
	}
	return list
}
