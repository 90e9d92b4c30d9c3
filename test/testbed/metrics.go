package testbed

import (
	"context"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// Sample is the value of one time series of a host's metrics.
type Sample struct {
	Name   string
	Value  float64
	labels []*dto.LabelPair
}

// Label returns the value of the named label, or an empty string if the sample has
// no such label.
func (s Sample) Label(name string) string {
	for _, l := range s.labels {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// Metrics scrapes the host's metrics endpoint and returns its samples.
func (h *Host) Metrics(ctx context.Context) ([]Sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr(adminPort)+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, err
	}
	var samples []Sample
	for name, family := range families {
		for _, m := range family.GetMetric() {
			samples = append(samples, Sample{Name: name, Value: metricValue(m), labels: m.GetLabel()})
		}
	}
	return samples, nil
}

func metricValue(m *dto.Metric) float64 {
	switch {
	case m.Counter != nil:
		return m.Counter.GetValue()
	case m.Gauge != nil:
		return m.Gauge.GetValue()
	default:
		return m.GetUntyped().GetValue()
	}
}
