package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// A configuration is one in the form of the platform.
type configuration struct {
	Version  string    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	PathPrefix    string `json:"path_prefix"`
	RouteType     string `json:"route_type"`
	TimeoutMS     int    `json:"timeout_ms"`
	TargetLatency int    `json:"target_latency_ms"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max_attempts"`
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_check_path"`
	MaxConnections int    `json:"max_connections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// Hosts and services of the cases.
const (
	host       = "jepu9.example"
	firstName  = "huvo11a"
	secondName = "wuno96b"
)

// newConfiguration returns a configuration with two services and the routes.
func newConfiguration(version string, routes ...route) configuration {
	c := configuration{
		Version: version,
		Routes:  routes,
		Limits: limits{
			MaxHeaderBytes:  16384,
			MaxBodyBytes:    67108864,
			HeaderTimeoutMS: 3000,
			IdleTimeoutMS:   15000,
		},
	}
	for _, name := range []string{firstName, secondName} {
		c.Services = append(c.Services, service{
			Name:           name,
			HealthPath:     "/health",
			MaxConnections: 110,
			Protocol:       "h1",
		})
	}
	return c
}

// newRoute returns a route of the host.
func newRoute(name, prefix, kind, service string) route {
	return route{
		Name:          name,
		Host:          host,
		PathPrefix:    prefix,
		RouteType:     kind,
		TimeoutMS:     4000,
		TargetLatency: 800,
		Priority:      1,
		Service:       service,
		MaxAttempts:   2,
	}
}

// put sends a configuration to a core machine and returns the status, or 0 if no
// answer came.
func (d *deployment) put(ip, base string, c configuration) int {
	body, err := json.Marshal(c)
	if err != nil {
		return 0
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address(ip, portControl)+"/fireflymoor/config/put", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Fireflymoor-Base-Version", base)
	response, err := platformClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// accept sends a configuration until a core machine among those acknowledges it,
// and returns the time of the ack.
func (d *deployment) accept(base string, c configuration, ips ...string) (time.Time, error) {
	turn := 0
	err := waitUntil("the configuration "+c.Version+" is acknowledged", func() bool {
		turn++
		return d.put(ips[turn%len(ips)], base, c) == http.StatusOK
	})
	d.write("operator: %s on top of %s is acknowledged (error: %v)", c.Version, base, err)
	return time.Now(), err
}

// get reads the configuration from a core machine. It returns the version that
// the answer bears, or what came in its place.
func (d *deployment) get(ip string) (string, bool) {
	response, err := platformClient.Get("http://" + address(ip, portControl) + "/fireflymoor/config/get")
	if err != nil {
		return "no answer", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d", response.StatusCode), false
	}
	c := configuration{}
	if err := json.Unmarshal(body, &c); err != nil {
		return "no configuration", false
	}
	return c.Version, true
}

// coreIPs returns the addresses of all core machines.
func (d *deployment) coreIPs() []string {
	ips := make([]string, 0, len(d.cores))
	for _, p := range d.cores {
		ips = append(ips, p.IP)
	}
	return ips
}
