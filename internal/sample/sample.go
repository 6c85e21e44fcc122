// Package sample describes the example deployments: their services, the number
// of upstreams of each service and the failure domains of the upstreams.
package sample

import (
	"fmt"
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// OneWayLatency is the one-way network latency between two domains, and between
// callers and a domain.
const OneWayLatency = time.Millisecond

// Deployment is a list of upstreams in failure domains.
type Deployment struct {
	Name    string
	Domains []ident.Domain
	Leaves  []Leaf
}

// Leaf is an upstream and the time that it takes to set up a new connection.
type Leaf struct {
	Upstream config.Upstream
	Connect  time.Duration
}

// AddressFunc returns the address, as IP:port, to assign to an upstream.
type AddressFunc func(config.Upstream) string

// indexSize is the size of an index, as listed in docs/design.md.
type indexSize struct {
	index     ident.Index
	services  int
	leaves    int // per service
	slots     int // per leaf
	connLimit int // per leaf
	connect   time.Duration
}

// Thesiswell returns the deployment amman, with 4 domains. The factor scales the
// number of services of each index, to at least one. If an index has a single
// service, it scales the leaves of that service, to at least two.
func Thesiswell(factor float64, address AddressFunc) Deployment {
	return build("amman", 4, factor, address, []indexSize{
		{index: "review-panel", services: 20, leaves: 2, slots: 2, connLimit: 50, connect: 6 * time.Millisecond},
		{index: "dean-reports", services: 30, leaves: 2, slots: 2, connLimit: 50, connect: 6 * time.Millisecond},
		{index: "student-desk", services: 1, leaves: 7, slots: 3, connLimit: 190, connect: time.Millisecond},
		{index: "registry-sync", services: 1, leaves: 4, slots: 3, connLimit: 190, connect: time.Millisecond},
	})
}

// Hanbit returns the deployment kr-cap, with 3 domains, scaled as in Thesiswell.
func Hanbit(factor float64, address AddressFunc) Deployment {
	return build("kr-cap", 3, factor, address, []indexSize{
		{index: "draftdesk", services: 20, leaves: 2, slots: 2, connLimit: 60, connect: 6 * time.Millisecond},
		{index: "intake", services: 30, leaves: 2, slots: 2, connLimit: 60, connect: 6 * time.Millisecond},
		{index: "myletters", services: 1, leaves: 20, slots: 2, connLimit: 80, connect: time.Millisecond},
		{index: "billing", services: 1, leaves: 10, slots: 2, connLimit: 80, connect: time.Millisecond},
	})
}

// Upstreams returns the upstream configuration of all leaves.
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

func build(name string, domains int, factor float64, address AddressFunc, indexes []indexSize) Deployment {
	d := Deployment{Name: name}
	for i := range domains {
		d.Domains = append(d.Domains, ident.Domain(fmt.Sprintf("%s-%d", name, i+1)))
	}
	for _, r := range indexes {
		r = r.scaled(factor)
		for s := range r.services {
			for n := range r.leaves {
				d.Leaves = append(d.Leaves, r.leaf(d.Domains, s, n, address))
			}
		}
	}
	return d
}

func (r indexSize) scaled(factor float64) indexSize {
	if r.services > 1 {
		r.services = max(1, int(math.Round(float64(r.services)*factor)))
	} else {
		r.leaves = max(2, int(math.Round(float64(r.leaves)*factor)))
	}
	return r
}

// leaf returns leaf n of a service. The leaves of a service are in different
// domains, as far as there are enough. Services with two leaves use all pairs of
// domains in turn, so that each domain has about the same number of leaves.
func (r indexSize) leaf(domains []ident.Domain, service, n int, address AddressFunc) Leaf {
	count := len(domains)
	stride := 1
	if r.leaves == 2 {
		stride += (service / count) % (count - 1)
	}
	domain := (service + n*stride) % count
	u := config.Upstream{
		ID:        ident.Upstream(fmt.Sprintf("%s-%d-%d", r.index, service+1, n+1)),
		Domain:    domains[domain],
		Index:     r.index,
		Service:   ident.Service(fmt.Sprintf("%s-%d", r.index, service+1)),
		Shards:    []ident.Shard{ident.Shard(fmt.Sprintf("%s/%d", r.index, service+1))},
		Slots:     r.slots,
		ConnLimit: r.connLimit,
		Phase:     config.Active,
	}
	u.Address = address(u)
	return Leaf{
		Upstream: u,
		Connect:  r.connect,
	}
}
