package quorum

// entries is the part of the log in memory: the entries after base.
type entries struct {
	base        Index
	baseTerm    Term
	baseMembers []Member
	list        []Entry
	// changes holds the indexes of the Membership entries in list.
	changes []Index
}

func newEntries(base Meta, list []Entry) entries {
	l := entries{
		base:        base.Index,
		baseTerm:    base.Term,
		baseMembers: base.Members,
		list:        list,
	}
	l.noteChanges(list)
	return l
}

func (l *entries) noteChanges(es []Entry) {
	for _, e := range es {
		if e.Kind == Membership {
			l.changes = append(l.changes, e.Index)
		}
	}
}

func (l *entries) last() Index { return l.base + Index(len(l.list)) }

func (l *entries) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i and whether it is known.
func (l *entries) term(i Index) (Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.list[i-l.base-1].Term, true
}

func (l *entries) at(i Index) Entry { return l.list[i-l.base-1] }

// slice returns the entries from i on, up to about limit bytes of data and
// at least one.
func (l *entries) slice(i Index, limit int) []Entry {
	if i > l.last() {
		return nil
	}
	rest := l.list[i-l.base-1:]
	n, size := 0, 0
	for n < len(rest) && (n == 0 || size+len(rest[n].Data) <= limit) {
		size += len(rest[n].Data)
		n++
	}
	return rest[:n:n]
}

// put replaces everything from the first entry's index on. The array is
// copied on truncation, since effects and messages may still refer to it.
func (l *entries) put(es []Entry) {
	keep := es[0].Index - l.base - 1
	if keep < Index(len(l.list)) {
		l.list = append(make([]Entry, 0, int(keep)+len(es)), l.list[:keep]...)
		for n := len(l.changes); n > 0 && l.changes[n-1] >= es[0].Index; n-- {
			l.changes = l.changes[:n-1]
		}
	}
	l.list = append(l.list, es...)
	l.noteChanges(es)
}

// drop forgets the entries up to i.
func (l *entries) drop(i Index) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.baseMembers, _ = l.members(i)
	for len(l.changes) > 0 && l.changes[0] <= i {
		l.changes = l.changes[1:]
	}
	l.list = append([]Entry(nil), l.list[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// members returns the member list in effect at index i, which is not before
// base, and the index of the entry that set it, or base.
func (l *entries) members(i Index) ([]Member, Index) {
	for n := len(l.changes) - 1; n >= 0; n-- {
		if j := l.changes[n]; j <= i {
			return l.at(j).Members, j
		}
	}
	return l.baseMembers, l.base
}

// listsFrom returns the member list in effect at index i, which is not before
// base, and all later ones.
func (l *entries) listsFrom(i Index) [][]Member {
	first, _ := l.members(i)
	lists := [][]Member{first}
	for _, j := range l.changes {
		if j > i {
			lists = append(lists, l.at(j).Members)
		}
	}
	return lists
}
