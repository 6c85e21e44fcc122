package rules

import (
	"strings"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Table finds routes of one document. It is immutable and safe for concurrent use.
type Table struct {
	Doc      *Document
	hosts    map[string]map[string]*Route
	services map[ident.Service]*Service
}

// NewTable returns the table of a checked document.
func NewTable(d *Document) *Table {
	t := &Table{
		Doc:      d,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[ident.Service]*Service, len(d.Services)),
	}
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

// Service returns what the document says of a service, or nil.
func (t *Table) Service(name ident.Service) *Service { return t.services[name] }

// Find returns the route with the longest prefix that begins the path, or
// nil. The host may carry a port; the path has no query.
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
