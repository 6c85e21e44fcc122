package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// peersOf returns at most maxPeers peers of p: neighbors within its domain, so
// that the hosts of a partitioned domain stay connected, and hosts at even
// distances in the list of all processes, which is sorted by domain.
func (t *Table) peersOf(p *process) []Peer {
	at, _ := slices.BinarySearchFunc(t.processes, p, compareProcess)
	first, last := at, at+1
	for first > 0 && t.processes[first-1].beat.Domain == p.beat.Domain && at-first < maxPeers {
		first--
	}
	for last < len(t.processes) && t.processes[last].beat.Domain == p.beat.Domain && last-at <= maxPeers {
		last++
	}
	var peers []Peer
	addPeer := func(q *process) {
		peer := Peer{
			Host:    q.beat.Host,
			Domain:  q.beat.Domain,
			Address: q.beat.Address,
		}
		if q.beat.Host != p.beat.Host && q.beat.Address != "" && !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	for _, step := range []int{1, 2, 3, -1} {
		n := last - first
		addPeer(t.processes[first+((at-first+step)%n+n)%n])
	}
	n := len(t.processes)
	for _, step := range []int{n / 4, n / 2, 3 * n / 4, 1} {
		addPeer(t.processes[(at+step)%n])
	}
	return peers[:min(len(peers), maxPeers)]
}

func digestPeers(peers []Peer) uint64 {
	h := xxhash.New()
	for _, p := range peers {
		for _, s := range []string{string(p.Host), string(p.Domain), p.Address} {
			_, _ = h.WriteString(s)
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// DomainState counts the entry host processes of one failure domain: live ones,
// unresponsive (Silent) ones, and those of either kind that have a seat.
type DomainState struct {
	Domain ident.Domain `json:"Domain"`
	Live   int          `json:"Live"`
	Silent int          `json:"Silent"`
	Seated int          `json:"Seated"`
}

// Domains returns the state of every domain with a tracked process, sorted by
// name.
func (t *Table) Domains() []DomainState {
	var list []DomainState
	for _, p := range t.processes {
		if len(list) == 0 || list[len(list)-1].Domain != p.beat.Domain {
			list = append(list, DomainState{Domain: p.beat.Domain})
		}
		d := &list[len(list)-1]
		if p.live {
			d.Live++
		} else {
			d.Silent++
		}
		if p.seat != noSeat {
			d.Seated++
		}
	}
	return list
}

// HostState is the leader's record of one entry host process. Seat is zero if
// Seated is false.
type HostState struct {
	Host    ident.HostID        `json:"Host"`
	Domain  ident.Domain        `json:"Domain"`
	Boot    uint64              `json:"Boot"`
	Address string              `json:"Address"`
	Version ident.ConfigVersion `json:"Version"`
	Live    bool                `json:"Live"`
	Seated  bool                `json:"Seated"`
	Seat    int                 `json:"Seat"`
}

// Hosts returns the tracked processes, sorted by domain, host and boot.
func (t *Table) Hosts() []HostState {
	list := make([]HostState, 0, len(t.processes))
	for _, p := range t.processes {
		list = append(list, HostState{
			Host:    p.beat.Host,
			Domain:  p.beat.Domain,
			Boot:    p.beat.Boot,
			Address: p.beat.Address,
			Version: p.beat.Version,
			Live:    p.live,
			Seated:  p.seat != noSeat,
			Seat:    max(p.seat, 0),
		})
	}
	return list
}
