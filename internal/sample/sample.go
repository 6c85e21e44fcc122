// Package sample describes the example deployments of the first users: which
// services exist, how many upstreams each has and where they stand.
package sample

import (
	"fmt"
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// OneWay is the one-way latency between two domains and from callers to a domain.
const OneWay = time.Millisecond

// Deployment is a list of upstreams in failure domains.
type Deployment struct {
	Name    string
	Domains []ident.Domain
	Leaves  []Leaf
}

// Leaf is an upstream and the cost of a new connection to it.
type Leaf struct {
	Upstream config.Upstream
	Connect  time.Duration
}

// Place returns the address (IP:port) of an upstream that has none yet.
type Place func(config.Upstream) string

// row is a line of the size table in docs/design.md.
type row struct {
	index     ident.Index
	services  int
	leaves    int
	slots     int
	connLimit int
	connect   time.Duration
}

// Thesiswell returns the deployment amman. The factor scales the number of
// services; an index with one service has its leaves scaled, to at least two.
func Thesiswell(factor float64, place Place) Deployment {
	return build("amman", 4, factor, place, []row{
		{index: "review-panel", services: 20, leaves: 2, slots: 2, connLimit: 50, connect: 6 * time.Millisecond},
		{index: "dean-reports", services: 30, leaves: 2, slots: 2, connLimit: 50, connect: 6 * time.Millisecond},
		{index: "student-desk", services: 1, leaves: 7, slots: 3, connLimit: 190, connect: time.Millisecond},
		{index: "registry-sync", services: 1, leaves: 4, slots: 3, connLimit: 190, connect: time.Millisecond},
	})
}

// Hanbit returns the deployment kr-cap, scaled as Thesiswell is.
func Hanbit(factor float64, place Place) Deployment {
	return build("kr-cap", 3, factor, place, []row{
		{index: "draftdesk", services: 20, leaves: 2, slots: 2, connLimit: 60, connect: 6 * time.Millisecond},
		{index: "intake", services: 30, leaves: 2, slots: 2, connLimit: 60, connect: 6 * time.Millisecond},
		{index: "myletters", services: 1, leaves: 20, slots: 2, connLimit: 80, connect: time.Millisecond},
		{index: "billing", services: 1, leaves: 10, slots: 2, connLimit: 80, connect: time.Millisecond},
	})
}

// Upstreams returns the configuration of all leaves.
func (d Deployment) Upstreams() []config.Upstream {
	list := make([]config.Upstream, 0, len(d.Leaves))
	for _, l := range d.Leaves {
		list = append(list, l.Upstream)
	}
	return list
}

// Shards returns the shards of an index in the order of its services.
func (d Deployment) Shards(index ident.Index) []ident.Shard {
	var shards []ident.Shard
	seen := make(map[ident.Shard]bool)
	for _, l := range d.Leaves {
		for _, s := range l.Upstream.Shards {
			if l.Upstream.Index == index && !seen[s] {
				seen[s] = true
				shards = append(shards, s)
			}
		}
	}
	return shards
}

func build(name string, domains int, factor float64, place Place, rows []row) Deployment {
	d := Deployment{Name: name}
	for i := range domains {
		d.Domains = append(d.Domains, ident.Domain(fmt.Sprintf("%s-%d", name, i+1)))
	}
	for _, r := range rows {
		r = r.scaled(factor)
		for s := range r.services {
			for n := range r.leaves {
				d.Leaves = append(d.Leaves, r.leaf(d.Domains, s, n, place))
			}
		}
	}
	return d
}

func (r row) scaled(factor float64) row {
	if r.services > 1 {
		r.services = max(1, int(math.Round(float64(r.services)*factor)))
	} else {
		r.leaves = max(2, int(math.Round(float64(r.leaves)*factor)))
	}
	return r
}

// leaf puts the leaves of a service into different domains, and the pairs of
// domains in turn, so that every domain holds an equal part.
func (r row) leaf(domains []ident.Domain, service, n int, place Place) Leaf {
	k := len(domains)
	step := 1
	if r.leaves == 2 {
		step += (service / k) % (k - 1)
	}
	at := (service + n*step) % k
	u := config.Upstream{
		ID:        ident.Upstream(fmt.Sprintf("%s-%d-%d", r.index, service+1, n+1)),
		Domain:    domains[at],
		Index:     r.index,
		Service:   ident.Service(fmt.Sprintf("%s-%d", r.index, service+1)),
		Shards:    []ident.Shard{ident.Shard(fmt.Sprintf("%s/%d", r.index, service+1))},
		Slots:     r.slots,
		ConnLimit: r.connLimit,
		Phase:     config.Active,
	}
	u.Address = place(u)
	return Leaf{
		Upstream: u,
		Connect:  r.connect,
	}
}
