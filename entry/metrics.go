package entry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// reservoirSize is the number of samples that a histogram keeps.
const reservoirSize = 256

func (d *Daemon) count(name string) { d.countMany(name, 1) }

func (d *Daemon) countMany(name string, n int) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(int64(n))
}

func (d *Daemon) observe(name string, elapsed time.Duration) {
	h := d.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(reservoirSize))
	}).(metrics.Histogram)
	h.Update(elapsed.Microseconds())
}

// quantiles lists the quantiles exported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// writeMetrics writes one line per value, sorted by name.
func writeMetrics(w io.Writer, r metrics.Registry) {
	var lines []string
	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("chivefield_%s_total %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("chivefield_%s %d", name, m.Value()))
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range quantiles {
				lines = append(lines, fmt.Sprintf("chivefield_%s_us{quantile=%q} %.0f", name, fmt.Sprint(q), s.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("chivefield_%s_us_count %d", name, s.Count()))
		}
	})
	slices.Sort(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}
