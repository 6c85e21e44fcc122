package core

// Source chooses the control host that this one asks for news. Use it from
// one goroutine.
type Source struct {
	// Own is the link address of this host.
	Own string
	// Seeds are link addresses of control hosts.
	Seeds []string

	known string
	next  int
}

// Target returns the host to ask: the leader that the replicated log names or
// that another host has named, else the next seed. finding is set if a seed is
// asked only to find out who leads. The address is empty if there is no host
// to ask this time.
func (s *Source) Target(logged string) (address string, finding bool) {
	address = s.known
	if logged != "" {
		address = logged
	}
	if address == "" && len(s.Seeds) > 0 {
		address, finding = s.Seeds[s.next%len(s.Seeds)], true
		s.next++
	}
	if address == s.Own {
		return "", finding
	}
	return address, finding
}

// Heard notes whom the asked host names as the leader; empty if it did not
// answer. A host that has lost its disk is still named as the leader for a
// while by those that have not heard of the next one.
func (s *Source) Heard(leader string) {
	s.known = leader
	if leader == s.Own {
		s.known = ""
	}
}
