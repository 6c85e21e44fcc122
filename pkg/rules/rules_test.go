package rules_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

func route(name, prefix string) rules.Route {
	return rules.Route{
		Name:     name,
		Host:     "a.example",
		Prefix:   prefix,
		Kind:     rules.Idempotent,
		Timeout:  time.Second,
		Attempts: 2,
		Backends: []rules.Backend{{
			Service: "s",
			Weight:  1,
		}},
	}
}

func document(routes ...rules.Route) *rules.Document {
	return &rules.Document{
		Version:  1,
		Routes:   routes,
		Services: []rules.Service{{Name: "s"}},
	}
}

func ExampleTable_Find() {
	t := rules.NewTable(document(route("outer", "/a/"), route("inner", "/a/b/")))
	fmt.Println(t.Find("a.example", "/a/b/c").Name, t.Find("A.example:80", "/a/x").Name, t.Find("a.example", "/b/") == nil)
	// Output: inner outer true
}

// Guards against a prefix that matches in the middle of a path segment, or a
// path that lacks the trailing slash of the prefix.
func TestFindMatchesWholeSegments(t *testing.T) {
	is := is.New(t)
	table := rules.NewTable(document(route("r", "/a/b/")))
	is.True(table.Find("a.example", "/a/b/") != nil)
	is.True(table.Find("a.example", "/a/b") == nil)
	is.True(table.Find("a.example", "/a/bc/d") == nil)
	is.True(table.Find("b.example", "/a/b/") == nil)
}

// Guards against an invalid document that passes the check and becomes active.
func TestCheckRefusesEachFault(t *testing.T) {
	cases := map[string]func(*rules.Document){
		"unknown service": func(d *rules.Document) { d.Routes[0].Backends[0].Service = "x" },
		"unknown shard": func(d *rules.Document) {
			d.Routes[0].Backends = nil
			d.Routes[0].Shards = []ident.Service{"s", "x"}
		},
		"no timeout":      func(d *rules.Document) { d.Routes[0].Timeout = 0 },
		"no weight":       func(d *rules.Document) { d.Routes[0].Backends[0].Weight = 0 },
		"duplicate route": func(d *rules.Document) { d.Routes = append(d.Routes, d.Routes[0]) },
		"open prefix":     func(d *rules.Document) { d.Routes[0].Prefix = "/a" },
		"no service":      func(d *rules.Document) { d.Routes[0].Backends = nil },
		"unknown kind":    func(d *rules.Document) { d.Routes[0].Kind = 0 },
		"missing host":    func(d *rules.Document) { d.Routes[0].Host = "" },
		"negative weight": func(d *rules.Document) { d.Routes[0].Backends[0].Weight = -1 },
		"both services":   func(d *rules.Document) { d.Routes[0].Shards = []ident.Service{"s"} },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := document(route("r", "/a/"))
			is.NoErr(d.Check())
			invalidate(d)
			var invalid *rules.InvalidError
			is.True(errors.As(d.Check(), &invalid))
		})
	}
}

// Guards against a smallest number of parts that is less than the fraction
// MinShardFraction of the shards, as by rounding down.
func TestMinParts(t *testing.T) {
	is := is.New(t)
	r := rules.Route{
		Shards:           make([]ident.Service, 20),
		MinShardFraction: 0.89,
	}
	is.Equal(r.MinParts(), 18)
	r.MinShardFraction = 0.75
	is.Equal(r.MinParts(), 15)
	r.MinShardFraction = 1
	is.Equal(r.MinParts(), 20)
}
