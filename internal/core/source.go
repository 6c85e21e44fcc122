package core

// Source selects the control host from which this one requests updates. Use it
// from one goroutine.
type Source struct {
	// Own is the link address of this host.
	Own string
	// Seeds are link addresses of control hosts, contacted in turn while no
	// leader is known.
	Seeds []string

	leader   string
	nextSeed int
}

// Target returns the host to contact: the leader that the replicated log names,
// else the one that another host has named, else the next seed. discovering is
// set if a seed is contacted only to find the leader. The address is empty if
// there is no host to contact this time.
func (s *Source) Target(logLeader string) (address string, discovering bool) {
	address = s.leader
	if logLeader != "" {
		address = logLeader
	}
	if address == "" && len(s.Seeds) > 0 {
		address, discovering = s.Seeds[s.nextSeed%len(s.Seeds)], true
		s.nextSeed++
	}
	if address == s.Own {
		return "", discovering
	}
	return address, discovering
}

// SetLeader records the leader that the contacted host has named; empty if it
// did not reply. The own address is ignored: after a disk failure, hosts that
// have not learned of the next leader still name this one for a while.
func (s *Source) SetLeader(leader string) {
	s.leader = leader
	if leader == s.Own {
		s.leader = ""
	}
}
