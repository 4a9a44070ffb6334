package runtimes

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const unknown = 2 * time.Second

// Guards against a run that is begun although runs of its route take longer than what is left.
func TestNeededFollowsLatestRuns(t *testing.T) {
	is := is.New(t)
	var h History
	is.Equal(h.Needed("r", Lossy, unknown), unknown)
	h.Record("few", 4*time.Second)
	is.Equal(h.Needed("few", Repeatable, unknown), 5*time.Second+overhead)
	for _, ms := range []time.Duration{100, 200, 300, 800} {
		h.Record("r", ms*time.Millisecond)
	}
	is.Equal(h.Needed("r", Repeatable, unknown), 300*time.Millisecond+overhead)
	is.Equal(h.Needed("r", Lossy, unknown), time.Second+overhead)
	is.Equal(h.Needed("other", Lossy, unknown), unknown)
	for range latestRuns {
		h.Record("r", 40*time.Millisecond)
	}
	is.Equal(h.Needed("r", Lossy, unknown), 50*time.Millisecond+overhead)
}

// Guards against a history that grows with each route that a configuration ever had.
func TestRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	var h History
	for i := range 2*maxRoutes + 1 {
		h.Record(fmt.Sprint(i), time.Second)
		is.True(len(h.routes) <= maxRoutes)
	}
}
