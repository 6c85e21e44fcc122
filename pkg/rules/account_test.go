package rules_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Guards against a request that is served without a key of an account, and against one
// that is refused although the document allows it.
func TestAuthorize(t *testing.T) {
	d := document(route("r", "/a/"), route("open", "/open/"))
	d.Routes[1].Public = true
	d.RequiresKey = true
	d.Accounts = []rules.Account{{
		Name: "one",
		Keys: []string{"k1", ""},
		Rate: 5,
	}, {
		Name: "two",
		Keys: []string{"k2"},
	}, {
		Name:        "one",
		Keys:        []string{"k3"},
		HasPriority: true,
		Rate:        9,
	}, {
		Name: "none",
	}}
	table := rules.NewTable(d)
	for _, c := range []struct {
		keys    []string
		account ident.Account
	}{
		{[]string{"k1"}, "one"},
		{[]string{"k2"}, "two"},
		{[]string{"k3"}, "one"},
		{nil, ""},
		{[]string{""}, ""},
		{[]string{"k"}, ""},
		{[]string{"K1"}, ""},
		{[]string{"k1", "k1"}, ""},
	} {
		is := is.New(t)
		for i := range d.Routes {
			a, ok := table.Authorize(&d.Routes[i], c.keys)
			is.Equal(a != nil, c.account != "")
			is.Equal(ok, c.account != "" || d.Routes[i].Public)
			if a != nil {
				is.Equal(a.Name, c.account)
				is.True(a.Name != "one" || a.Rate == 5 && !a.HasPriority) // the first entry's
			}
		}
	}
	is := is.New(t)
	open := rules.NewTable(document(route("r", "/a/")))
	_, ok := open.Authorize(&open.Doc.Routes[0], []string{"x", "y"})
	is.True(ok)
}

// Guards against an explicit priority of 0 that counts as none, and the reverse.
func TestPriorityOfAnAccount(t *testing.T) {
	is := is.New(t)
	r := route("r", "/a/")
	r.Priority = 2
	var none *rules.Account
	is.Equal(none.PriorityOn(&r), 2)
	is.Equal((&rules.Account{}).PriorityOn(&r), 2)
	is.Equal((&rules.Account{HasPriority: true}).PriorityOn(&r), 0)
}

// Guards against a request in progress that goes on with a withdrawn key or another's
// account, and against one that ends although each table allows it as it is.
func TestReview(t *testing.T) {
	table := func(public bool, accounts ...rules.Account) *rules.Table {
		d := document(route("r", "/a/"))
		d.Routes[0].Public = public
		d.RequiresKey = accounts != nil
		d.Accounts = accounts
		return rules.NewTable(d)
	}
	one := rules.Account{
		Name: "one",
		Keys: []string{"k"},
	}
	two := rules.Account{
		Name: "two",
		Keys: []string{"k"},
	}
	none := rules.Account{Name: "one"}
	rotated := rules.Account{
		Name:        "one",
		Keys:        []string{"new", "k"},
		HasPriority: true,
		Rate:        1,
	}
	for name, c := range map[string]struct {
		old, next *rules.Table
		want      rules.Review
	}{
		"same":               {table(false, one), table(false, one), rules.Allowed},
		"other limits":       {table(false, one), table(false, rotated), rules.Allowed},
		"key withdrawn":      {table(false, one), table(false, none), rules.Revoked},
		"empty list":         {table(false, one), table(false, []rules.Account{}...), rules.Revoked},
		"no list":            {table(false, one), table(false), rules.Allowed},
		"key moved":          {table(false, one), table(false, two), rules.Moved},
		"keys needed now":    {table(false), table(false, one), rules.Moved},
		"unknown key now":    {table(false), table(false, none), rules.Unknown},
		"public before":      {table(true, none), table(false, none), rules.Unknown},
		"public now":         {table(false, one), table(true, none), rules.Moved},
		"public, no account": {table(true, none), table(true, none), rules.Allowed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.next.Review(c.old, "a.example", "/a/x", []string{"k"}), c.want)
			is.Equal(c.next.Review(c.old, "b.example", "/a/x", []string{"k"}), rules.Allowed)
		})
	}
}

// Guards against a request that is sent on a route which it was never authorized for, as
// its table did not have it yet, and against one that outlives its key since its route
// went with the key.
func TestReviewOfAppearingAndDisappearingRoutes(t *testing.T) {
	table := func(prefix, key string, public bool) *rules.Table {
		d := document(route("r", prefix))
		d.Routes[0].Public = public
		d.RequiresKey = true
		d.Accounts = []rules.Account{{
			Name: "one",
			Keys: []string{key},
		}}
		return rules.NewTable(d)
	}
	free := rules.NewTable(document(route("r", "/b/")))
	for name, c := range map[string]struct {
		old, next *rules.Table
		want      rules.Review
	}{
		"route appears":                {table("/b/", "k", false), table("/a/", "k", false), rules.Moved},
		"route appears, unknown key":   {table("/b/", "x", false), table("/a/", "x", false), rules.Moved},
		"route goes":                   {table("/a/", "k", false), table("/b/", "k", false), rules.Allowed},
		"route goes with the key":      {table("/a/", "k", false), table("/b/", "x", false), rules.Revoked},
		"public route goes":            {table("/a/", "x", true), table("/b/", "y", false), rules.Allowed},
		"route and accounts go":        {table("/a/", "k", false), free, rules.Allowed},
		"without a route in any table": {table("/b/", "k", false), table("/b/", "x", false), rules.Allowed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.next.Review(c.old, "a.example", "/a/x", []string{"k"}), c.want)
		})
	}
}
