package quorum

// memoryLog is the part of the log that is kept in memory: the entries after
// index base.
type memoryLog struct {
	base        Index
	baseTerm    Term
	baseMembers []Member
	entries     []Entry
	// membershipIndexes lists the indexes of the Membership entries.
	membershipIndexes []Index
}

func newMemoryLog(base Meta, entries []Entry) memoryLog {
	l := memoryLog{
		base:        base.Index,
		baseTerm:    base.Term,
		baseMembers: base.Members,
		entries:     entries,
	}
	l.indexMembership(entries)
	return l
}

func (l *memoryLog) indexMembership(es []Entry) {
	for _, e := range es {
		if e.Kind == Membership {
			l.membershipIndexes = append(l.membershipIndexes, e.Index)
		}
	}
}

func (l *memoryLog) lastIndex() Index { return l.base + Index(len(l.entries)) }

func (l *memoryLog) lastTerm() Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of entry i, or false if i is before base or after the
// last entry.
func (l *memoryLog) term(i Index) (Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *memoryLog) at(i Index) Entry { return l.entries[i-l.base-1] }

// batch returns consecutive entries from index i on, limited to limit bytes of
// data. The first entry is returned whatever its size.
func (l *memoryLog) batch(i Index, limit int) []Entry {
	if i > l.lastIndex() {
		return nil
	}
	rest := l.entries[i-l.base-1:]
	n, size := 0, 0
	for n < len(rest) && (n == 0 || size+len(rest[n].Data) <= limit) {
		size += len(rest[n].Data)
		n++
	}
	return rest[:n:n]
}

// truncateAndAppend replaces all entries from the first added index on. It
// copies the array on truncation, since effects and messages may still refer to
// it.
func (l *memoryLog) truncateAndAppend(added []Entry) {
	prefixLen := added[0].Index - l.base - 1
	if prefixLen < Index(len(l.entries)) {
		l.entries = append(make([]Entry, 0, int(prefixLen)+len(added)), l.entries[:prefixLen]...)
		for n := len(l.membershipIndexes); n > 0 && l.membershipIndexes[n-1] >= added[0].Index; n-- {
			l.membershipIndexes = l.membershipIndexes[:n-1]
		}
	}
	l.entries = append(l.entries, added...)
	l.indexMembership(added)
}

// compactTo discards the entries up to i, which becomes base.
func (l *memoryLog) compactTo(i Index) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.baseMembers, _ = l.members(i)
	for len(l.membershipIndexes) > 0 && l.membershipIndexes[0] <= i {
		l.membershipIndexes = l.membershipIndexes[1:]
	}
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// members returns the member list in effect at index i, which is not before
// base, and the index of the entry that set it, or base.
func (l *memoryLog) members(i Index) ([]Member, Index) {
	for n := len(l.membershipIndexes) - 1; n >= 0; n-- {
		if j := l.membershipIndexes[n]; j <= i {
			return l.at(j).Members, j
		}
	}
	return l.baseMembers, l.base
}

// memberListsFrom returns the member list in effect at index i, which is not
// before base, and all later ones.
func (l *memoryLog) memberListsFrom(i Index) [][]Member {
	first, _ := l.members(i)
	lists := [][]Member{first}
	for _, j := range l.membershipIndexes {
		if j > i {
			lists = append(lists, l.at(j).Members)
		}
	}
	return lists
}
