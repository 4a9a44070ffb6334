package report

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/explain"
)

// Predictions compares the times to first events that were seen with those that were
// predicted when the requests were placed. Placing is as good as they are: one that is off
// sends requests where they are late, or keeps them from where they would be on time.
type Predictions struct {
	// Median and NineTenths are quantiles of what was seen over what was predicted; 0 if
	// nothing was compared.
	Median     float64 `json:"median"`
	NineTenths float64 `json:"nine_tenths"`
	// Compared is the number of streams, Impossible how many of them had a prediction of
	// nothing or less.
	Compared   int `json:"compared"`
	Impossible int `json:"impossible"`
	ratios     []float64
}

func (p *Predictions) add(predicted, seen time.Duration) {
	p.Compared++
	if predicted <= 0 {
		p.Impossible++
		return
	}
	p.ratios = append(p.ratios, float64(seen)/float64(predicted))
}

// settle works out the quantiles.
func (p *Predictions) settle() {
	slices.Sort(p.ratios)
	if n := len(p.ratios); n > 0 {
		p.Median, p.NineTenths = p.ratios[n/2], p.ratios[n*9/10]
	}
}

// prediction is what was expected of a request when it was placed last.
type prediction struct {
	endpoint      string
	first, waited time.Duration
}

// expect notes what was expected of a request.
func (b *builder) expect(l *explain.Line) {
	b.expected[l.Get("request")] = prediction{
		endpoint: l.Get("endpoint"), first: milliseconds(l.Get("predicted")), waited: milliseconds(l.Get("waited")),
	}
}

// compare takes in when the first event of a stream came.
func (b *builder) compare(l *explain.Line) {
	e, ok := b.expected[l.Get("request")]
	if !ok || l.Get("sent") != "1" {
		// Of a stream that went on at another endpoint the first event says nothing.
		return
	}
	seen := milliseconds(l.Get("first_event")) - e.waited
	b.route(b.routeOf[l.Get("request")]).Predictions.add(e.first, seen)
	b.endpoint(e.endpoint).Predictions.add(e.first, seen)
}
