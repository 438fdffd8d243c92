package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	Kind        string  `json:"route_type"`
	TimeoutMS   float64 `json:"timeout_ms"`
	LatencyMS   float64 `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
}

// tenant is a tenant of a configuration.
type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// operator sends configurations as the platform does.
type operator struct {
	deployment *deployment
	client     http.Client
	version    int
}

func newOperator(d *deployment) *operator {
	return &operator{
		deployment: d,
		client: http.Client{
			Timeout: time.Second,
		},
	}
}

// put sends a configuration until it is acknowledged, to one replica after the other.
func (o *operator) put(ctx context.Context, routes []route, services ...string) error {
	base, version := o.version, o.version+2
	list := []map[string]any{}
	for _, service := range services {
		list = append(list, map[string]any{
			"name":              service,
			"health_check_path": "/health",
			"max_connections":   110,
			"protocol":          "h1",
			"tls":               false,
		})
	}
	configuration := map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   routes,
		"services": list,
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    67108864,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	}
	if len(o.deployment.tenants) > 0 {
		configuration["tenants"] = o.deployment.tenants
	}
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	err = waitUntil(ctx, "an acknowledgement", startTimeout, func() bool {
		for _, p := range o.deployment.replicas {
			if p.isRunning() && o.send(ctx, p, base, body) == http.StatusOK {
				o.deployment.log.printf("answer: %s acknowledges version r%d", p.name, version)
				return true
			}
		}
		return false
	})
	if err == nil {
		o.version = version
	}
	return err
}

// send sends a configuration to one replica and returns the status, or 0.
func (o *operator) send(ctx context.Context, p *process, base int, body []byte) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostPort(p.ip, portControl)+"/fireflymoor/config/put", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Fireflymoor-Base-Version", "0")
	if base > 0 {
		request.Header.Set("X-Fireflymoor-Base-Version", fmt.Sprintf("r%d", base))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
