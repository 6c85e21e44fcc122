package follow

import "slices"

// LeaderFinder selects the control host from which another one requests updates:
// the leader, or hosts that may name it. Use it from one goroutine.
type LeaderFinder struct {
	// Own is the link address of this host.
	Own string
	// Seeds are link addresses of control hosts, contacted in turn while no
	// leader is known.
	Seeds []string

	leader   string
	nextSeed int
}

// Target returns the host to contact: the leader that the replicated log names,
// else the one that another host has named, else the next of the seeds and the
// other control hosts. discovering is set if a host is contacted only to find
// the leader. The address is empty if there is no host to contact this time.
func (s *LeaderFinder) Target(logLeader string, others []string) (address string, discovering bool) {
	address = s.leader
	if logLeader != "" {
		address = logLeader
	}
	if address == "" {
		list := slices.Clone(s.Seeds)
		for _, o := range others {
			if !slices.Contains(list, o) {
				list = append(list, o)
			}
		}
		if len(list) == 0 {
			return "", true
		}
		address, discovering = list[s.nextSeed%len(list)], true
		s.nextSeed++
	}
	if address == s.Own {
		return "", discovering
	}
	return address, discovering
}

// Answered records which leader the contacted host has named, and whether its
// copy was current. A host that names itself without a current copy has lost the
// lead. The own address is ignored: after a disk failure, hosts that have not
// learned of the next leader still name this one for a while.
func (s *LeaderFinder) Answered(contacted, leader string, current bool) {
	s.leader = leader
	if leader == s.Own || leader == contacted && !current {
		s.leader = ""
	}
}

// Failed records that the contacted host did not answer.
func (s *LeaderFinder) Failed() { s.leader = "" }

// Leader returns the leader that another host has named; empty if there is none.
func (s *LeaderFinder) Leader() string { return s.leader }
