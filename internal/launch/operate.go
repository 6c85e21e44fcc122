package launch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/admin"
	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// initClient creates the client of the operator commands without connecting it.
func (j *job) initClient() error {
	client, scheme, err := link.HTTPClient(j.linkConfig())
	if err != nil {
		return err
	}
	j.client = admin.NewClient(admin.Config{
		Controls: j.opt.Controls,
		Timeout:  j.opt.Timeout,
		HTTP:     client,
		Scheme:   scheme,
	})
	return nil
}

// hasArgs reports whether the arguments are the verb and n more words.
func (j *job) hasArgs(verb string, n int) bool {
	return len(j.opt.Args) == n+1 && j.opt.Args[0] == verb
}

func (j *job) argsError() error {
	return &usageError{text: fmt.Sprintf("arguments %q of the %s command are wrong: run jujubethread -h for its forms",
		strings.Join(j.opt.Args, " "), j.opt.Command)}
}

func (j *job) preset(ctx context.Context) error {
	switch {
	case j.hasArgs("list", 0):
		return j.listPresets(ctx)
	case j.hasArgs("switch", 1):
		return j.sendChange(ctx, config.SwitchPreset{Name: preset.Name(j.opt.Args[1])})
	case j.hasArgs("put", 1):
		doc, err := os.ReadFile(j.opt.Args[1])
		if err != nil {
			return errors.Wrap(err, "preset document cannot be read")
		}
		p, err := preset.Parse(doc)
		if err != nil {
			return err
		}
		return j.sendChange(ctx, config.PutPreset{Preset: p})
	default:
		return j.argsError()
	}
}

func (j *job) upstream(ctx context.Context) error {
	switch {
	case j.hasArgs("list", 0):
		return j.listUpstreams(ctx)
	case j.hasArgs("add", 1):
		u, err := readUpstream(j.opt.Args[1])
		if err != nil {
			return err
		}
		return j.sendChange(ctx, config.AddUpstream{Upstream: u})
	case j.hasArgs("retire", 1):
		return j.sendChange(ctx, config.RetireUpstream{ID: ident.Upstream(j.opt.Args[1])})
	case j.hasArgs("remove", 1):
		return j.sendChange(ctx, config.RemoveUpstream{ID: ident.Upstream(j.opt.Args[1])})
	case j.hasArgs("place", 2):
		var shards []ident.Shard
		for _, s := range strings.Split(j.opt.Args[2], ",") {
			shards = append(shards, ident.Shard(s))
		}
		return j.sendChange(ctx, config.PlaceShards{
			ID:     ident.Upstream(j.opt.Args[1]),
			Shards: shards,
		})
	default:
		return j.argsError()
	}
}

func readUpstream(file string) (config.Upstream, error) {
	f, err := os.Open(file)
	if err != nil {
		return config.Upstream{}, errors.Wrap(err, "upstream document cannot be read")
	}
	defer f.Close()
	var u config.Upstream
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&u); err != nil {
		return u, errors.Wrapf(err, "upstream document %s cannot be decoded: see docs/OPERATIONS.md for its fields", file)
	}
	return u, nil
}

func (j *job) member(ctx context.Context) error {
	var m ctrl.MembersRequest
	switch {
	case j.hasArgs("list", 0):
		return j.status(ctx)
	case j.hasArgs("add", 1):
		id, address, ok := strings.Cut(j.opt.Args[1], "=")
		if !ok {
			return &usageError{text: "member add needs ID=IP:PORT: the member id is printed by a new control host at its start"}
		}
		m.Add = &ctrl.AddMember{
			ID:      ident.HostID(id),
			Address: address,
		}
	case j.hasArgs("remove", 1):
		m.Remove = &ctrl.RemoveMember{ID: ident.HostID(j.opt.Args[1])}
	case j.hasArgs("replace", 2):
		id, address, ok := strings.Cut(j.opt.Args[2], "=")
		if !ok {
			return &usageError{text: "member replace needs OLD NEW=IP:PORT: the member id is printed by a new control host at its start"}
		}
		m.Replace = &ctrl.ReplaceMember{
			Old:     ident.HostID(j.opt.Args[1]),
			ID:      ident.HostID(id),
			Address: address,
		}
	default:
		return j.argsError()
	}
	out, err := j.client.Members(ctx, m)
	if err != nil {
		return err
	}
	return j.printOutcome("", out)
}

// sendChange sends a change of the configuration and prints its outcome.
func (j *job) sendChange(ctx context.Context, c config.Change) error {
	cmd, out, err := j.client.Run(ctx, ident.CommandID(j.opt.ID), j.opt.Expect, c)
	if err != nil {
		return err
	}
	return j.printOutcome(cmd.ID, out)
}

// printOutcome prints the outcome of a command. If the command was not accepted,
// it returns an exitError with the exit status for that outcome.
func (j *job) printOutcome(id ident.CommandID, out config.Outcome) error {
	if j.opt.JSON {
		if err := json.NewEncoder(j.out).Encode(struct {
			ID      ident.CommandID `json:"ID,omitempty"`
			Outcome config.Outcome  `json:"Outcome"`
		}{
			ID:      id,
			Outcome: out,
		}); err != nil {
			return err
		}
	}
	switch out.Kind {
	case config.Accepted:
		if !j.opt.JSON {
			fmt.Fprintf(j.out, "accepted at version %s (command id %s)\n", out.Version, id)
		}
		return nil
	case config.Conflict:
		return &exitError{
			code: exitConflict,
			text: fmt.Sprintf("conflict at version %s: %s\n  %s", out.Version, out.Remedy, strings.Join(out.Changed, "\n  ")),
		}
	case config.NotRun:
		return &exitError{
			code: exitNotRun,
			text: "not run: " + out.Remedy,
		}
	default:
		return &exitError{
			code: exitUnknown,
			text: fmt.Sprintf("unknown: %s (command id %s, expected version as before)", out.Remedy, id),
		}
	}
}

func (j *job) listPresets(ctx context.Context) error {
	s, err := j.client.Config(ctx)
	if err != nil {
		return err
	}
	return j.printList(s.Presets, func(w io.Writer) {
		fmt.Fprintln(w, "PRESET\tIN FORCE\tHEDGE %\tRETRY %\tCRITICAL ms\tSTANDARD ms\tTOLERANT ms")
		for _, p := range s.Presets {
			inForce := ""
			if p.Name == s.InForce {
				inForce = "yes"
			}
			fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%d\t%d\t%d\n", p.Name, inForce, p.HedgePercent, p.RetryPercent,
				p.Critical.DeadlineMillis, p.Standard.DeadlineMillis, p.Tolerant.DeadlineMillis)
		}
	})
}

func (j *job) listUpstreams(ctx context.Context) error {
	s, err := j.client.Config(ctx)
	if err != nil {
		return err
	}
	return j.printList(s.Upstreams, func(w io.Writer) {
		fmt.Fprintln(w, "UPSTREAM\tPHASE\tADDRESS\tDOMAIN\tSERVICE\tSHARDS\tSLOTS\tCONNECTIONS")
		for _, u := range s.Upstreams {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%d\t%d\n", u.ID, u.Phase, u.Address, u.Domain, u.Service, u.Shards, u.Slots, u.ConnLimit)
		}
	})
}

// printList prints values as JSON if -json is set, else as a table. The function
// table writes its lines with tabs between the columns.
func (j *job) printList(values any, table func(io.Writer)) error {
	if j.opt.JSON {
		return json.NewEncoder(j.out).Encode(values)
	}
	w := tabwriter.NewWriter(j.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// status prints the state of each control host and its view of the group.
func (j *job) status(ctx context.Context) error {
	list := j.client.Status(ctx)
	if j.opt.JSON {
		return json.NewEncoder(j.out).Encode(list)
	}
	answered := false
	for _, h := range list {
		if h.Status == nil {
			fmt.Fprintf(j.out, "control host %s: no answer: %s\n", h.Address, h.Error)
			continue
		}
		answered = true
		j.printStatus(h)
	}
	if !answered {
		return errors.New("no control host answered: check -control and that one of them runs")
	}
	return nil
}

func (j *job) printStatus(h admin.HostStatus) {
	s := h.Status
	fmt.Fprintf(j.out, "control host %s (%s): %s, term %d, leader %s, configuration %s, applied %d of %d\n",
		s.ID, h.Address, s.Role, s.Term, s.Leader, s.Version, s.Applied, s.Last)
	for _, m := range s.Members {
		fmt.Fprintf(j.out, "  member %s at %s: voter %t", m.ID, m.Address, m.Voter)
		if s.Role == quorum.Leader { // only the leader tracks the other members
			fmt.Fprintf(j.out, ", reached %t, lag %d", m.Reached, m.Lag)
		}
		fmt.Fprintln(j.out)
	}
	for _, h := range s.Hosts {
		seat := "no seat"
		if h.Seated {
			seat = fmt.Sprintf("seat %d", h.Seat)
		}
		fmt.Fprintf(j.out, "  entry host %s in %s: version %s in force, %s, live %t\n", h.Host, h.Domain, h.Version, seat, h.Live)
	}
	for _, f := range s.Faults {
		fmt.Fprintf(j.out, "  wrong: %s: %s; remedy: %s\n", f.Kind, f.Detail, f.Remedy)
	}
}

func (j *job) filing(ctx context.Context) error {
	switch {
	case j.hasArgs("list", 0):
		return j.listFilings(ctx)
	case j.hasArgs("resolve", 2):
		status, ok := resolutions[j.opt.Args[2]]
		if !ok {
			return j.argsError()
		}
		out, err := j.client.Resolve(ctx, ctrl.ResolveFiling{
			Request: ident.RequestID(j.opt.Args[1]),
			Status:  status,
			Receipt: "resolved by an operator",
		})
		if err != nil {
			return err
		}
		return j.printOutcome(ident.CommandID(j.opt.Args[1]), out)
	default:
		return j.argsError()
	}
}

var resolutions = map[string]ledger.Status{
	"done":   ledger.Done,
	"notrun": ledger.NotRun,
}

func (j *job) listFilings(ctx context.Context) error {
	list, err := j.client.Unresolved(ctx)
	if err != nil {
		return err
	}
	return j.printList(list, func(w io.Writer) {
		fmt.Fprintln(w, "REQUEST\tAGE\tENTRY HOST\tFENCE")
		for _, f := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", f.Filing.Request, f.Age.Round(time.Second), f.Filing.Host, f.Filing.Fence)
		}
	})
}
