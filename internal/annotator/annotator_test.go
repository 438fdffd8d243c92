package annotator

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestCutTarget splits ids that JoinTarget returns, and other ids.
func TestCutTarget(t *testing.T) {
	cases := map[string]struct {
		target, node, id string
		ok               bool
	}{
		"joined":      {target: JoinTarget("node", "id"), node: "node", id: "id", ok: true},
		"no node":     {target: "id", node: "id"},
		"three parts": {target: "node/a/b", node: "node", id: "a/b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node, id, ok := CutTarget(c.target)
			is.Equal(node, c.node)
			is.Equal(id, c.id)
			is.Equal(ok, c.ok)
		})
	}
}

// TestLoadReport reads reports that SetLoadReport wrote, the form that has only the
// load, and malformed ones, which must not count as the load of an idle target.
func TestLoadReport(t *testing.T) {
	cases := map[string]struct {
		text   string
		report fireflymoor.LoadReport
		ok     bool
	}{
		"load":          {text: "0.28", report: fireflymoor.LoadReport{Load: 0.28, Pace: 1}, ok: true},
		"usual pace":    {text: "0.61,310", report: fireflymoor.LoadReport{Load: 0.61, Hold: 310 * time.Millisecond, Pace: 1}, ok: true},
		"slow":          {text: "1.06,310,250", report: fireflymoor.LoadReport{Load: 1.06, Hold: 310 * time.Millisecond, Pace: 2.5}, ok: true},
		"none":          {},
		"no number":     {text: "NaN"},
		"negative":      {text: "0.5,-1"},
		"not finite":    {text: "0.5,Inf"},
		"too many":      {text: "0.5,1,1,1"},
		"missing value": {text: "0.5,"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{Load: {c.text}}
			report, ok := TakeLoadReport(h)
			is.Equal(ok, c.ok)
			is.Equal(h.Get(Load), "")
			if !ok {
				return
			}
			is.Equal(report, c.report)
			if report.Hold > 0 {
				SetLoadReport(h, report)
				is.Equal(h.Get(Load), c.text)
			}
		})
	}
}
