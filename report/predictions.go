package report

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/explain"
)

// Predictions compares the observed times to the first event with the times predicted when
// the requests were placed. Wrong predictions impair placement: requests go to endpoints
// where they are late, or are kept from endpoints where they would be on time.
type Predictions struct {
	// Median and P90 are quantiles of the ratio observed/predicted; 0 if there is no ratio.
	Median float64 `json:"median"`
	P90    float64 `json:"nine_tenths"`
	// Compared is the number of compared streams, NonPositive the number of those whose
	// predicted time was zero or negative. The latter have no ratio.
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

// computeQuantiles sets the quantiles from the recorded ratios.
func (p *Predictions) computeQuantiles() {
	slices.Sort(p.ratios)
	if n := len(p.ratios); n > 0 {
		p.Median, p.P90 = p.ratios[n/2], p.ratios[n*9/10]
	}
}

// prediction is the prediction that was logged when a request was last placed.
type prediction struct {
	endpoint           string
	firstEvent, waited time.Duration
}

// recordPrediction stores the prediction of a placed request.
func (b *builder) recordPrediction(l *explain.Line) {
	b.predictions[l.Get("request")] = prediction{
		endpoint: l.Get("endpoint"), firstEvent: parseMilliseconds(l.Get("predicted")), waited: parseMilliseconds(l.Get("waited")),
	}
}

// recordFirstEvent compares the first event of a stream with its prediction.
func (b *builder) recordFirstEvent(l *explain.Line) {
	e, ok := b.predictions[l.Get("request")]
	if !ok || l.Get("sent") != "1" {
		// If a stream was continued at another endpoint, its first event does not belong to
		// the last prediction.
		return
	}
	observed := parseMilliseconds(l.Get("first_event")) - e.waited
	b.route(b.routeOf[l.Get("request")]).Predictions.add(e.firstEvent, observed)
	b.endpoint(e.endpoint).Predictions.add(e.firstEvent, observed)
}
