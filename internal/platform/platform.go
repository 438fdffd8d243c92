// Package platform serves the HTTP endpoints for the platform: health checks,
// readiness, metrics and target announcements.
package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
	"github.com/fireflymoor/fireflymoor/internal/target"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

const (
	// maxAnnouncementBytes is the maximum size of an announcement's body.
	maxAnnouncementBytes = 16 << 10
	// maxVersionBytes is the maximum length of a target's version.
	maxVersionBytes = 128
)

// NewHandler returns a new http.Handler. unreadyReason returns why the process is
// not ready, or "" if it is ready. targets may be nil; then the handler accepts no
// announcements. quarantine may be nil as well.
func NewHandler(registry *prometheus.Registry, unreadyReason func() string, targets *target.Registry, quarantine *quarantiner.Quarantiner) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := unreadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ok")
	})
	if targets != nil {
		handleTargets(mux, targets)
	}
	if quarantine != nil {
		handleQuarantine(mux, quarantine)
	}
	return mux
}

// handleQuarantine lists the requests under which targets have ended, and clears them.
func handleQuarantine(mux *http.ServeMux, quarantine *quarantiner.Quarantiner) {
	mux.HandleFunc("GET /v1/quarantine", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(quarantine.Entries(time.Now()))
	})
	mux.HandleFunc("DELETE /v1/quarantine/{request}", func(w http.ResponseWriter, r *http.Request) {
		request, err := quarantiner.Parse(r.PathValue("request"))
		if err != nil {
			http.Error(w, "the request is no hexadecimal number", http.StatusBadRequest)
			return
		}
		if !quarantine.Knows(request) {
			http.Error(w, "no target has ended under this request", http.StatusNotFound)
			return
		}
		quarantine.Clear(request, time.Now())
		w.WriteHeader(http.StatusNoContent)
	})
}

func handleTargets(mux *http.ServeMux, targets *target.Registry) {
	mux.HandleFunc("POST /v1/targets", func(w http.ResponseWriter, r *http.Request) {
		a := target.Announcement{}
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&a); err != nil {
			http.Error(w, "the body is no announcement: "+err.Error(), http.StatusBadRequest)
			return
		}
		if reason := validate(a); reason != "" {
			http.Error(w, reason, http.StatusUnprocessableEntity)
			return
		}
		targets.Announce(a, time.Now())
		if a.Draining {
			secure(w, r, targets)
		}
	})
	mux.HandleFunc("DELETE /v1/targets/{id}", func(w http.ResponseWriter, r *http.Request) {
		if err := targets.Withdraw(r.PathValue("id")); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		secure(w, r, targets)
	})
	mux.HandleFunc("POST /v1/targets/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		idle, err := targets.Drain(r.PathValue("id"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		if !secure(w, r, targets) || r.URL.Query().Get("wait") == "" {
			return
		}
		select {
		case <-idle:
		case <-r.Context().Done():
		}
	})
}

// secure makes the notices of draining and leaving targets known to other processes.
// If it cannot, it responds with status 503 and returns false.
func secure(w http.ResponseWriter, r *http.Request, targets *target.Registry) bool {
	if err := targets.Secure(r.Context()); err != nil {
		http.Error(w, "the notice cannot be made known to other nodes", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// validate returns why an announcement is invalid, or "" if it is valid.
func validate(a target.Announcement) string {
	host, _, err := net.SplitHostPort(a.Address)
	switch {
	case !parser.ValidName(a.ID):
		return "id is not in kebab case"
	case !parser.ValidName(a.Service):
		return "service is not in kebab case"
	case err != nil || net.ParseIP(host) == nil:
		return "address is not IP:PORT"
	case a.Version != "" && !parser.ValidText(a.Version, maxVersionBytes):
		return fmt.Sprintf("version is not text of at most %d bytes", maxVersionBytes)
	case a.Slots < 1 || a.Slots > parser.MaxSlots:
		return fmt.Sprintf("slots is not between 1 and %d", parser.MaxSlots)
	}
	return ""
}
