package rules

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// InvalidError reports the first fault of a document that must not be used.
type InvalidError struct {
	// Route is the name of the invalid route, empty if it has none.
	Route string
	// Reason is the fault with its remedy.
	Reason string
}

// Error returns the fault with its remedy.
func (e *InvalidError) Error() string {
	if e.Route == "" {
		return e.Reason
	}
	return "route " + e.Route + ": " + e.Reason
}

// routeKey identifies the requests that a route matches: no two routes may have
// the same.
type routeKey struct{ host, prefix string }

// Check returns an *InvalidError for the first fault of the document, or nil.
func (d *Document) Check() error {
	services := make(map[ident.Service]bool, len(d.Services))
	for _, s := range d.Services {
		services[s.Name] = true
	}
	seen := make(map[routeKey]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if reason := r.fault(services); reason != "" {
			return errors.WithStack(&InvalidError{
				Route:  r.Name,
				Reason: reason,
			})
		}
		key := routeKey{
			host:   strings.ToLower(r.Host),
			prefix: r.Prefix,
		}
		if seen[key] {
			return errors.WithStack(&InvalidError{
				Route:  r.Name,
				Reason: "another route has the same host and prefix: keep one of them",
			})
		}
		seen[key] = true
	}
	return d.checkAccounts()
}

// checkAccounts returns an *InvalidError for the first fault of the accounts, or nil. The
// error reaches logs and operators, so it names accounts and never a key.
func (d *Document) checkAccounts() error {
	owners := make(map[string]ident.Account)
	for i := range d.Accounts {
		a := &d.Accounts[i]
		// The name becomes the value of a header.
		if strings.ContainsFunc(string(a.Name), unicode.IsControl) {
			return errors.WithStack(&InvalidError{
				Reason: fmt.Sprintf("the name of account %q has a control character: remove it", a.Name),
			})
		}
		for _, key := range a.Keys {
			if key == "" {
				continue
			}
			if owner, ok := owners[key]; ok && owner != a.Name {
				return errors.WithStack(&InvalidError{
					Reason: fmt.Sprintf("accounts %q and %q have the same key: give each its own", owner, a.Name),
				})
			}
			owners[key] = a.Name
		}
	}
	return nil
}

// fault returns what is wrong with a route and its remedy, or "".
func (r *Route) fault(services map[ident.Service]bool) string {
	switch {
	case r.Host == "":
		return "has no host: state one"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "prefix " + r.Prefix + " must begin and end with a slash"
	case r.Timeout <= 0:
		return "the timeout must be over 0"
	case r.Kind == 0:
		return "the kind is not known: use one that the pages name"
	case len(r.Backends) > 0 && len(r.Shards) > 0:
		return "names both services and shards: keep one of them"
	case len(r.Backends) == 0 && len(r.Shards) == 0:
		return "names no service: state one"
	}
	sum := 0.0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return "service " + string(b.Service) + " is not in the document: add it"
		}
		if b.Weight < 0 {
			return "a weight is below 0: raise it"
		}
		sum += b.Weight
	}
	if len(r.Backends) > 0 && sum <= 0 {
		return "the weights add up to 0: raise one"
	}
	for _, s := range r.Shards {
		if !services[s] {
			return "shard " + string(s) + " is not a service of the document: add it"
		}
	}
	return ""
}
