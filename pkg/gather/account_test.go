package gather_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func account(i int) ident.Account { return ident.Account(fmt.Sprint("account-", i)) }

// Guards against hosts that ask different owners of an account, and against one
// gatherer that owns most accounts.
func TestAccountsAreSpreadOverGatherers(t *testing.T) {
	is := is.New(t)
	all := hosts(41, "a", "b")
	first := gather.New("a-1", "a")
	first.SetHosts(0, all)
	second := gather.New("b-2", "b")
	second.SetHosts(0, append(all[30:], all[:30]...))
	owned := map[ident.HostID]int{}
	for i := range 600 {
		list := first.AccountOwners("a", account(i))
		is.Equal(len(list), 6)
		is.Equal(list[0].ID, second.AccountOwners("a", account(i))[0].ID)
		owned[list[0].ID]++
	}
	is.Equal(len(owned), 6)
	for _, n := range owned {
		is.True(n > 60 && n < 150)
	}
}

// Guards against accounts without an owner after a gatherer is lost, and against a host
// that takes itself for the owner while the one before it answers, or from the time
// before that one was lost.
func TestNextGathererLeads(t *testing.T) {
	is := is.New(t)
	all := hosts(41, "a", "b")
	s := gather.New("a-1", "a")
	s.SetHosts(0, all)
	list := s.AccountOwners("a", "x")
	second := gather.New(list[1].ID, "a")
	second.SetHosts(at(100), all)
	is.Equal(second.LeadsAccount(at(200), "x"), at(200).Sub(at(200))) // it knows nothing of the first
	for _, o := range list {
		second.RecordPing(o.Host, ping(300, 1))
	}
	is.Equal(second.LeadsAccount(at(5000), "x"), at(0).Sub(0))
	second.RecordPing(list[0].Host, gather.Ping{Now: at(6000)})
	second.RecordPing(list[0].Host, gather.Ping{Now: at(6500)})
	is.True(second.AccountOwners("a", "x")[0].Self)
	is.Equal(second.LeadsAccount(at(7000), "x"), at(7000).Sub(at(6000)))
	second.RecordPing(list[0].Host, ping(7100, 1))
	is.Equal(second.LeadsAccount(at(7200), "x"), at(0).Sub(0))

	first := gather.New(list[0].ID, "a")
	first.SetHosts(at(100), all)
	is.Equal(first.LeadsAccount(at(5000), "x"), at(5000).Sub(at(100)))
	first.SetHosts(at(4000), all) // the same gatherers
	is.Equal(first.LeadsAccount(at(5000), "x"), at(5000).Sub(at(100)))
}

// Guards against an owner that goes on to grant requests although it is cut off from
// its domain, where another host has taken its place.
func TestHostThatIsCutOffReachesFew(t *testing.T) {
	is := is.New(t)
	all := hosts(41, "a")
	s := gather.New("nobody", "a")
	s.SetHosts(0, all)
	list := s.AccountOwners("a", "x")
	s = gather.New(list[0].ID, "a")
	s.SetHosts(0, all)
	is.True(!s.ReachesMost()) // it has heard of none yet
	others := s.PingTargets()
	is.True(len(others) >= 10) // five gatherers and some helpers
	for i, h := range others {
		is.Equal(s.ReachesMost(), 2*(i+1) > len(others)+1)
		s.RecordPing(h, ping(0, 1))
	}
	is.True(s.ReachesMost())
	for _, h := range others {
		s.RecordPing(h, gather.Ping{Now: at(500)})
	}
	is.True(!s.ReachesMost())
	is.Equal(s.DomainHosts(), 41)

	outsider := gather.New("nobody", "a")
	outsider.SetHosts(0, hosts(3, "a"))
	is.True(!outsider.ReachesMost())
}
