package rules

import "github.com/jujubethread/jujubethread/pkg/ident"

// Account is a customer with the keys of its callers.
type Account struct {
	Name ident.Account
	// Keys are secrets: they appear in no log, metric, trace or error.
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the number of requests a second that all hosts together take, 0 for no
	// limit. Burst is how many more they take at once.
	Rate  float64
	Burst float64
}

// PriorityOn returns the priority of the account's requests on a route. A nil account
// has that of the route.
func (a *Account) PriorityOn(r *Route) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return r.Priority
}

// Authorize returns the account to which the keys of a request belong, nil for none,
// and whether the request may use the route. A request has one key; several are as
// good as an unknown one.
func (t *Table) Authorize(r *Route, keys []string) (a *Account, ok bool) {
	if len(keys) == 1 {
		a = t.accounts[keys[0]]
	}
	return a, a != nil || r.Public || !t.Doc.RequiresKey
}

// Review is what a table means for a request in progress.
type Review uint8

// The outcomes of a review.
const (
	// Allowed requests go on unchanged.
	Allowed Review = iota
	// Unknown keys belong to no account, and did not need to so far.
	Unknown
	// Revoked keys belonged to an account.
	Revoked
	// Moved requests have to begin again: with another account, with one that they need
	// only now, or on a route that they did not have.
	Moved
)

// Review reviews a request in progress that an earlier table has authorized. One that
// had no route has used no key: it is Moved if it has one now. One whose route is gone
// goes on under it while its key is still that of an account.
func (t *Table) Review(earlier *Table, host, path string, keys []string) Review {
	old, route := earlier.Find(host, path), t.Find(host, path)
	switch {
	case old == nil && route == nil || old != nil && !t.Doc.RequiresKey:
		return Allowed
	case old == nil:
		return Moved
	}
	isGone := route == nil
	if isGone {
		route = old
	}
	before, _ := earlier.Authorize(old, keys)
	now, ok := t.Authorize(route, keys)
	switch {
	case !ok && before == nil:
		return Unknown
	case !ok:
		return Revoked
	case !isGone && (!earlier.Doc.RequiresKey || before.name() != now.name()):
		return Moved
	}
	return Allowed
}

// name returns the name of an account, empty for nil.
func (a *Account) name() ident.Account {
	if a == nil {
		return ""
	}
	return a.Name
}

// Account returns the account of a name, or nil if there is none.
func (t *Table) Account(name ident.Account) *Account {
	for i := range t.Doc.Accounts {
		if t.Doc.Accounts[i].Name == name {
			return &t.Doc.Accounts[i]
		}
	}
	return nil
}

// indexAccounts indexes the accounts by key. Entries with one name are one account,
// with the limit and priority of the first.
func (t *Table) indexAccounts() {
	byName := make(map[ident.Account]*Account, len(t.Doc.Accounts))
	for i := range t.Doc.Accounts {
		entry := &t.Doc.Accounts[i]
		if byName[entry.Name] == nil {
			byName[entry.Name] = entry
		}
		for _, key := range entry.Keys {
			if key != "" {
				t.accounts[key] = byName[entry.Name]
			}
		}
	}
}
