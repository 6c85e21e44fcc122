package ctrl

import (
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Paths of the operator API.
const (
	PathCommands = "/v1/commands" // POST a command, answers config.Outcome
	PathConfig   = "/v1/config"   // GET, answers config.State
	PathStatus   = "/v1/status"   // GET, answers Status
	PathMembers  = "/v1/members"  // POST MembersRequest, answers config.Outcome
	PathMetrics  = "/metrics"     // GET, in the Prometheus text format
	PathFilings  = "/v1/filings"  // GET the unresolved filings, POST ResolveFiling
)

func typeName(v any) string { return fmt.Sprintf("%T", v) }

func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathCommands, h.serveCommand)
	mux.HandleFunc("POST "+PathMembers, h.serveMembers)
	mux.HandleFunc("GET "+PathFilings, h.serveUnresolved)
	mux.HandleFunc("POST "+PathFilings, h.serveResolve)
	mux.HandleFunc("GET "+PathConfig, h.serveConfig)
	mux.HandleFunc("GET "+PathStatus, h.serveStatus)
	mux.Handle("GET "+PathMetrics, guard.Reserve(guard.MetricsBytes, h.meters.handler))
	return requireOperatorRole(mux)
}

// operatorRoles are the certificate roles that may use the operator API.
var operatorRoles = []string{"operator", "control"}

// requireOperatorRole refuses requests whose certificate has another role. It
// has no effect in plaintext.
func requireOperatorRole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && !hasOperatorRole(r.TLS.PeerCertificates) {
			writeRefusal(w, http.StatusForbidden, "the certificate has no role for operators: use one with the role operator")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func hasOperatorRole(certs []*x509.Certificate) bool {
	return len(certs) > 0 && slices.ContainsFunc(certs[0].Subject.OrganizationalUnit, func(unit string) bool {
		return slices.Contains(operatorRoles, unit)
	})
}

func (h *Host) serveCommand(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	c, err := ParseCommand(body)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	writeOutcome(w, h.Command(r.Context(), c))
}

func (h *Host) serveMembers(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var m MembersRequest
	if err := parseStrict(body, &m); err != nil {
		writeRefusal(w, http.StatusBadRequest, "request cannot be decoded: name one of Add, Remove and Replace: "+err.Error())
		return
	}
	if _, ok := m.Change(); !ok {
		writeRefusal(w, http.StatusBadRequest, "name exactly one of Add, Remove and Replace")
		return
	}
	var after quorum.Position
	if _, err := fmt.Sscanf(r.URL.Query().Get(AfterParameter), "%d.%d", &after.Term, &after.Index); err != nil {
		h.redirectAfterMembers(w, r)
		return
	}
	m.After = &after
	a := h.Submit(r.Context(), Request{Members: &m})
	writeOutcome(w, config.Outcome{
		Kind:   a.Kind,
		Remedy: a.Remedy,
	})
}

// AfterParameter is the query parameter of an order with what it is based on. An order
// without it is redirected to the same order with it, which only a caller follows that
// still wants it: a copy that arrives late undoes no later order.
const AfterParameter = "after"

// redirectAfterMembers redirects to the same order with the position of the member list.
func (h *Host) redirectAfterMembers(w http.ResponseWriter, r *http.Request) {
	s, err := h.Quorum(r.Context())
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	redirectAfter(w, r, fmt.Sprintf("%d.%d", s.MembersAt.Term, s.MembersAt.Index))
}

func redirectAfter(w http.ResponseWriter, r *http.Request, position string) {
	w.Header()["Location"] = []string{r.URL.EscapedPath() + "?" + AfterParameter + "=" + position}
	w.WriteHeader(http.StatusTemporaryRedirect)
}

func (h *Host) serveConfig(w http.ResponseWriter, r *http.Request) {
	s, err := h.Config(r.Context())
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (h *Host) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, err := h.Status(r.Context())
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := guard.ReadBody(w, r, MaxBodyBytes)
	if err == nil && !guard.Of(r).Complete(len(body)) {
		err = guard.ErrNoMemory
	}
	if errors.Is(err, guard.ErrNoMemory) {
		w.Header().Set("Connection", "close")
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return nil, false
	}
	if err != nil {
		writeRefusal(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body cannot be read or is over %d bytes: %v", MaxBodyBytes, err))
		return nil, false
	}
	return body, true
}

func writeRefusal(w http.ResponseWriter, status int, remedy string) {
	writeJSON(w, status, config.Outcome{
		Kind:   config.NotRun,
		Remedy: remedy,
	})
}

func writeOutcome(w http.ResponseWriter, out config.Outcome) {
	status := http.StatusOK
	switch out.Kind {
	case config.Accepted:
	case config.Conflict:
		status = http.StatusConflict
	case config.NotRun:
		status = http.StatusServiceUnavailable
	case config.Unknown:
		status = http.StatusGatewayTimeout
	}
	writeJSON(w, status, out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
