// Package sampler reads the resource usage of a running process from the operating
// system and from the metrics that the process exports.
package sampler

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
	// ticksPerSecond is the number of ticks per second. A tick is the unit of
	// processor times in /proc.
	ticksPerSecond = 100
	// userTicksField and systemTicksField are indices in /proc/PID/stat of the
	// fields after the command name, counted from 0.
	userTicksField   = 11
	systemTicksField = 12
	// residentPagesField is an index in /proc/PID/statm, counted from 0.
	residentPagesField = 1
	metricsTimeout     = 5 * time.Second
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	// Processor is the processor time in user and system mode.
	Processor time.Duration
	// Resident is the current resident memory, in bytes.
	Resident int64
	// In is the number of bytes of control traffic received.
	In float64
	// Out is the number of bytes of control traffic sent.
	Out float64
	// Sent is the number of bytes of messages sent, by kind of message.
	Sent map[string]float64
	// Connections is the number of control connections accepted.
	Connections float64
}

// Read returns the usage of the process with the given process ID and platform
// address.
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
		return errors.Wrap(err, "sampler: read processor time")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, field := range []int{userTicksField, systemTicksField} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return errors.Wrap(err, "sampler: read processor time")
		}
		ticks += n
	}
	u.Processor = time.Duration(ticks) * time.Second / ticksPerSecond
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return errors.Wrap(err, "sampler: read memory")
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[residentPagesField], 10, 64)
	u.Resident = pages * int64(os.Getpagesize())
	return errors.Wrap(err, "sampler: read memory")
}

func (u *Usage) readMetrics(platform string) error {
	client := http.Client{
		Timeout: metricsTimeout,
	}
	response, err := client.Get("http://" + platform + "/metrics")
	if err != nil {
		return errors.Wrap(err, "sampler: read metrics")
	}
	defer func() {
		_ = response.Body.Close()
	}()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return errors.Wrap(err, "sampler: read metrics")
	}
	u.In = metricValue(families, "fireflymoor_control_bytes_total", "in")
	u.Out = metricValue(families, "fireflymoor_control_bytes_total", "out")
	u.Connections = metricValue(families, "fireflymoor_control_connections_total", "")
	for _, m := range families["fireflymoor_sent_message_bytes_total"].GetMetric() {
		u.Sent[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
	}
	return nil
}

// metricValue returns the counter of a family whose first label has the given
// value, or the first counter if label is empty.
func metricValue(families map[string]*dto.MetricFamily, name, label string) float64 {
	for _, m := range families[name].GetMetric() {
		if label == "" || m.GetLabel()[0].GetValue() == label {
			return m.GetCounter().GetValue()
		}
	}
	return 0
}

// Since returns the usage since an earlier reading of the same process. Resident is
// the current value.
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
