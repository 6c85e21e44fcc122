package rules

import (
	"strings"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Table looks up the routes and services of one document. It is immutable and
// safe for concurrent use.
type Table struct {
	Doc *Document
	// hosts holds the routes by host name in lower case, then by path prefix.
	hosts    map[string]map[string]*Route
	services map[ident.Service]*Service
	// accounts holds the accounts by key.
	accounts map[string]*Account
}

// NewTable returns the table of d, which must have passed Check.
func NewTable(d *Document) *Table {
	t := &Table{
		Doc:      d,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[ident.Service]*Service, len(d.Services)),
		accounts: make(map[string]*Account),
	}
	t.indexAccounts()
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.Prefix] = r
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() Version { return t.Doc.Version }

// Service returns the settings of a service, or nil if the document lacks it.
func (t *Table) Service(name ident.Service) *Service { return t.services[name] }

// Find returns the route of the host with the longest prefix that matches the
// path, or nil. The host may include a port; the path must not include a query
// string.
func (t *Table) Find(host, path string) *Route {
	prefixes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		colon := strings.LastIndexByte(host, ':')
		if colon < 0 {
			return nil
		}
		if prefixes, ok = t.hosts[strings.ToLower(host[:colon])]; !ok {
			return nil
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}
