// Package gauger reads what a running process has used, from the operating
// system and from the process's own metrics.
package gauger

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	userField      = 11
	systemField    = 12
	residentField  = 1
	timeout        = 5 * time.Second
)

// Usage is what a process has used since its start.
type Usage struct {
	// Processor is its processor time.
	Processor time.Duration
	// Resident is its resident memory now, in bytes.
	Resident int64
	// In and Out are the bytes of its control traffic.
	In float64
	// Out is the bytes that it sent.
	Out float64
	// Sent is the bytes of messages that it sent, by kind.
	Sent map[string]float64
	// Connections is the number of control connections that it accepted.
	Connections float64
}

// Read returns what the process with an id and a platform address has used.
func Read(pid int, platform string) (Usage, error) {
	usage := Usage{
		Sent: map[string]float64{},
	}
	if err := usage.readSystem(pid); err != nil {
		return usage, err
	}
	return usage, usage.readMetrics(platform)
}

func (u *Usage) readSystem(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return errors.Wrap(err, "gauger: read processor time")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, field := range []int{userField, systemField} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return errors.Wrap(err, "gauger: read processor time")
		}
		ticks += n
	}
	u.Processor = time.Duration(ticks) * time.Second / ticksPerSecond
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return errors.Wrap(err, "gauger: read memory")
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[residentField], 10, 64)
	u.Resident = pages * int64(os.Getpagesize())
	return errors.Wrap(err, "gauger: read memory")
}

func (u *Usage) readMetrics(platform string) error {
	client := http.Client{
		Timeout: timeout,
	}
	response, err := client.Get("http://" + platform + "/metrics")
	if err != nil {
		return errors.Wrap(err, "gauger: read metrics")
	}
	defer func() {
		_ = response.Body.Close()
	}()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return errors.Wrap(err, "gauger: read metrics")
	}
	u.In = value(families, "fireflymoor_control_bytes_total", "in")
	u.Out = value(families, "fireflymoor_control_bytes_total", "out")
	u.Connections = value(families, "fireflymoor_control_connections_total", "")
	for _, m := range families["fireflymoor_sent_message_bytes_total"].GetMetric() {
		u.Sent[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
	}
	return nil
}

func value(families map[string]*dto.MetricFamily, name, label string) float64 {
	for _, m := range families[name].GetMetric() {
		if label == "" || m.GetLabel()[0].GetValue() == label {
			return m.GetCounter().GetValue()
		}
	}
	return 0
}

// Since returns what was used after an earlier reading.
func (u Usage) Since(earlier Usage) Usage {
	sent := map[string]float64{}
	for kind, bytes := range u.Sent {
		sent[kind] = bytes - earlier.Sent[kind]
	}
	return Usage{
		Processor:   u.Processor - earlier.Processor,
		Resident:    u.Resident,
		In:          u.In - earlier.In,
		Out:         u.Out - earlier.Out,
		Sent:        sent,
		Connections: u.Connections - earlier.Connections,
	}
}
