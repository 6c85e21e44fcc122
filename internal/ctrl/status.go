package ctrl

import (
	"context"
	"fmt"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Status describes a control host and, on the leader, its group.
type Status struct {
	ID      ident.HostID        `json:"ID"`
	Role    quorum.Role         `json:"Role"`
	Term    quorum.Term         `json:"Term"`
	Leader  ident.HostID        `json:"Leader"`
	Lease   bool                `json:"Lease"`
	Version ident.ConfigVersion `json:"Version"`
	Digest  uint64              `json:"Digest"`
	Last    quorum.Index        `json:"Last"`
	Commit  quorum.Index        `json:"Commit"`
	Applied quorum.Index        `json:"Applied"`
	// LogBytes and SnapshotBytes are the sizes of the files in the data folder.
	LogBytes      int64          `json:"LogBytes"`
	SnapshotBytes int64          `json:"SnapshotBytes"`
	Members       []MemberStatus `json:"Members"`
	// Domains has the host counts of each failure domain; leader only.
	Domains []member.DomainState `json:"Domains"`
	// Hosts lists the entry hosts with their active configuration versions;
	// leader only.
	Hosts  []member.HostState `json:"Hosts"`
	Faults []Fault            `json:"Faults"`
}

// MemberStatus describes one member. Match, Lag and Reached are known to the
// leader only.
type MemberStatus struct {
	ID       ident.HostID `json:"ID"`
	Address  string       `json:"Address"`
	Voter    bool         `json:"Voter"`
	Replaces ident.HostID `json:"Replaces,omitempty"`
	Match    quorum.Index `json:"Match"`
	// Lag is the number of log entries that the member lacks.
	Lag     quorum.Index `json:"Lag"`
	Reached bool         `json:"Reached"`
}

// Fault is one fault of the host or the group, with its remedy.
type Fault struct {
	Kind   string `json:"Kind"`
	Detail string `json:"Detail"`
	Remedy string `json:"Remedy"`
}

// Status returns the current status. It fails if the host is busy until ctx
// ends, or stopping.
func (h *Host) Status(ctx context.Context) (Status, error) {
	v, err := h.view(ctx)
	if err != nil {
		return Status{}, err
	}
	q := v.quorum
	s := Status{
		ID:            q.ID,
		Role:          q.Role,
		Term:          q.Term,
		Leader:        q.Leader,
		Lease:         q.Lease,
		Version:       v.config.Version,
		Digest:        v.config.Digest,
		Last:          q.Last,
		Commit:        q.Commit,
		Applied:       q.Applied,
		LogBytes:      v.logBytes,
		SnapshotBytes: v.snapBytes,
		Members:       memberStatus(q),
		Domains:       append([]member.DomainState{}, v.domains...),
		Hosts:         append([]member.HostState{}, v.hosts...),
		Faults:        []Fault{},
	}
	for _, f := range v.faults {
		s.Faults = append(s.Faults, Fault{
			Kind:   string(f.Kind),
			Detail: f.Error(),
			Remedy: f.Remedy(),
		})
	}
	s.Faults = append(s.Faults, memberFaults(q)...)
	s.Faults = append(s.Faults, hostFaults(v.hosts, s.Version)...)
	return s, nil
}

// Config returns this member's copy of the configuration. It is current only
// if Status.Lease is set.
func (h *Host) Config(ctx context.Context) (*config.State, error) {
	v, err := h.view(ctx)
	return v.config, err
}

func memberStatus(q quorum.Status) []MemberStatus {
	list := make([]MemberStatus, 0, len(q.Members))
	for _, m := range q.Members {
		s := MemberStatus{
			ID:       m.ID,
			Address:  m.Address,
			Voter:    m.Voter,
			Replaces: m.Replaces,
		}
		if m.ID == q.ID {
			s.Match, s.Reached = q.Applied, true
		}
		for _, p := range q.Peers {
			if p.ID == m.ID {
				s.Match, s.Lag, s.Reached = p.Match, q.Last-p.Match, p.Reached
			}
		}
		list = append(list, s)
	}
	return list
}

// hostFaults reports the entry hosts that are unresponsive, have no seat or
// have an older version than current.
func hostFaults(hosts []member.HostState, current ident.ConfigVersion) []Fault {
	var faults []Fault
	for _, h := range hosts {
		switch {
		case !h.Live:
			faults = append(faults, Fault{
				Kind:   "EntryHostSilent",
				Detail: fmt.Sprintf("entry host %s in %s sends no heartbeat", h.Host, h.Domain),
				Remedy: "bring it back, or leave it if it was stopped for good; its seat is kept until its lease has ended",
			})
		case !h.Seated:
			faults = append(faults, Fault{
				Kind:   "EntryHostWithoutSeat",
				Detail: fmt.Sprintf("entry host %s in %s has no connection seat", h.Host, h.Domain),
				Remedy: "stop hosts that are not needed or raise the number of seats",
			})
		case h.Version.Less(current):
			faults = append(faults, Fault{
				Kind:   "EntryHostBehind",
				Detail: fmt.Sprintf("entry host %s in %s has version %s in force instead of %s", h.Host, h.Domain, h.Version, current),
				Remedy: "wait for its next heartbeat; if it stays behind, check its way to the control hosts",
			})
		}
	}
	return faults
}

func memberFaults(q quorum.Status) []Fault {
	var faults []Fault
	if _, ok := memberOf(q.Members, q.ID); !ok {
		return []Fault{{
			Kind:   "NotMember",
			Detail: fmt.Sprintf("host %s is not a member of a control group", q.ID),
			Remedy: "add it on a member of the group with the member command",
		}}
	}
	if q.Leader == "" {
		faults = append(faults, Fault{
			Kind:   "NoLeader",
			Detail: "no leader is known",
			Remedy: "bring back members until a majority is in reach; commands are refused until then",
		})
	}
	for _, p := range q.Peers {
		if !p.Reached {
			faults = append(faults, Fault{
				Kind:   "MemberSilent",
				Detail: fmt.Sprintf("member %s does not answer", p.ID),
				Remedy: "bring it back, or replace it if its host or disk is lost",
			})
		}
	}
	return faults
}

// StateBytes returns the size of the encoded replicated state in bytes.
func (h *Host) StateBytes(ctx context.Context) (int64, error) {
	var encode func() ([]byte, error)
	if err := h.runOnOwner(ctx, func(o *owner) { encode = o.parts.Freeze() }); err != nil {
		return 0, err
	}
	data, err := encode()
	return int64(len(data)), err
}
