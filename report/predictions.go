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
	Median float64 `json:"median"`
	P90    float64 `json:"nine_tenths"`
	// Compared is the number of streams, Impossible how many of them had a prediction of
	// nothing or less.
	Compared    int `json:"compared"`
	NonPositive int `json:"impossible"`
	ratios      []float64
}

func (p *Predictions) add(predicted, observed time.Duration) {
	p.Compared++
	if predicted <= 0 {
		p.NonPositive++
		return
	}
	p.ratios = append(p.ratios, float64(observed)/float64(predicted))
}

// computeQuantiles works out the quantiles.
func (p *Predictions) computeQuantiles() {
	slices.Sort(p.ratios)
	if n := len(p.ratios); n > 0 {
		p.Median, p.P90 = p.ratios[n/2], p.ratios[n*9/10]
	}
}

// prediction is what was expected of a request when it was placed last.
type prediction struct {
	endpoint           string
	firstEvent, waited time.Duration
}

// recordPrediction notes what was expected of a request.
func (b *builder) recordPrediction(l *explain.Line) {
	b.predictions[l.Get("request")] = prediction{
		endpoint: l.Get("endpoint"), firstEvent: parseMilliseconds(l.Get("predicted")), waited: parseMilliseconds(l.Get("waited")),
	}
}

// recordFirstEvent takes in when the first event of a stream came.
func (b *builder) recordFirstEvent(l *explain.Line) {
	e, ok := b.predictions[l.Get("request")]
	if !ok || l.Get("sent") != "1" {
		// Of a stream that went on at another endpoint the first event says nothing.
		return
	}
	observed := parseMilliseconds(l.Get("first_event")) - e.waited
	b.route(b.routeOf[l.Get("request")]).Predictions.add(e.firstEvent, observed)
	b.endpoint(e.endpoint).Predictions.add(e.firstEvent, observed)
}
