// Package reach decides from the connections that a VM opens to endpoints whether the VM's own link
// to all of them has failed, as opposed to single endpoints.
//
// It is designed for a link that fails for seconds while callers, the store and other VMs still reach
// the VM. An endpoint to which no connection can be opened may be down; several in a row, without one
// that can be reached between them, are hardly all down. Taken one by one, they would be: a VM that
// places requests for others would refuse these for want of endpoints that all others reach.
//
// A request that ends the endpoints that run it takes several in a row, too. So one of those that fail
// must have been chosen for comparison, with no request on its way there.
//
// Whether other VMs reach the endpoints is for the caller to ask: where all endpoints are down, every
// VM comes to the same conclusion about its own link.
package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// failuresToLose is the number of different endpoints in a row that must fail. A crash takes
	// two endpoints of twelve now and then; the connections to others that are opened for
	// comparison tell it from a lost link.
	failuresToLose = 3
	// failureTTL is how long a failed connection counts: some times the timeout of a connection and
	// the interval of comparisons.
	failureTTL = 3 * time.Second
	// comparisonInterval is the shortest time between two rounds of connections that are opened only
	// to tell a failed endpoint from a lost link. Endpoints that stay down are tried all the time.
	comparisonInterval = time.Second
	// trialInterval is the time between two connections that are opened to find out whether a lost
	// link is back. Each is opened to one endpoint only, so VMs that get their links back at the
	// same moment do not rush to the endpoints.
	trialInterval = 500 * time.Millisecond
)

// Detector holds what one VM knows of its link to the endpoints. Its zero value has no evidence. It
// is not safe for concurrent use.
type Detector struct {
	// failed holds the endpoints, by hash, whose last connection failed after the last that was
	// opened to any, and when.
	failed map[uint64]time.Duration
	// failingSince is when the first connection of those was begun. chosen holds the endpoints chosen
	// for comparison since then.
	failingSince time.Duration
	chosen       map[uint64]bool
	// reachedAt is when a connection was last opened.
	reachedAt time.Duration
	lost      bool
	lostSince time.Duration
	// comparedAt and triedAt are when comparisons and the last trial were started.
	comparedAt, triedAt time.Duration
	compared            bool
}

// Change is what a record changed.
type Change int

// Changes of the link's state.
const (
	Unchanged Change = iota
	Lost
	Regained
)

// RecordOpened records that a connection to an endpoint was opened.
func (d *Detector) RecordOpened(now time.Duration) Change {
	d.reachedAt = now
	clear(d.failed)
	clear(d.chosen)
	if !d.lost {
		return Unchanged
	}
	d.lost = false
	return Regained
}

// RecordFailed records that a connection to an endpoint, begun at the time started, could not be
// opened. known is the number of endpoints that the VM knows.
func (d *Detector) RecordFailed(now, started time.Duration, endpoint uint64, known int) Change {
	if started < d.reachedAt {
		return Unchanged
	}
	if d.failed == nil {
		d.failed, d.chosen = make(map[uint64]time.Duration), make(map[uint64]bool)
	}
	d.expire(now)
	if len(d.failed) == 0 {
		d.failingSince = started
	}
	d.failingSince = min(d.failingSince, started)
	d.failed[endpoint] = now
	if d.lost || len(d.failed) < needed(known) || len(d.failed) < known && !d.comparisonFailed() {
		return Unchanged
	}
	d.lost, d.lostSince, d.triedAt = true, now, now
	return Lost
}

// comparisonFailed reports whether an endpoint chosen for comparison has failed.
func (d *Detector) comparisonFailed() bool {
	for e := range d.failed {
		if d.chosen[e] {
			return true
		}
	}
	return false
}

// comparisonDue reports whether endpoints are to be chosen for comparison: after a first failure, and
// before the link is taken for lost.
func (d *Detector) comparisonDue(now time.Duration) bool {
	if d.lost || len(d.failed) == 0 {
		return false
	}
	return !d.compared || now-d.comparedAt >= comparisonInterval || len(d.failed) >= failuresToLose && len(d.chosen) == 0
}

// needed returns the number of endpoints that must fail. With one endpoint there is nothing to compare
// it with.
func needed(known int) int { return max(2, min(failuresToLose, known)) }

func (d *Detector) expire(now time.Duration) {
	maps.DeleteFunc(d.failed, func(_ uint64, at time.Duration) bool { return now-at > failureTTL })
	if len(d.failed) == 0 {
		clear(d.chosen)
	}
}

// Lost reports whether the link has failed.
func (d *Detector) Lost() bool { return d.lost }

// LostSince returns since when the link counts as failed; it is only meaningful while it does.
func (d *Detector) LostSince() time.Duration { return d.lostSince }

// FailingSince returns since when connections have failed; it is only meaningful while some have.
func (d *Detector) FailingSince() time.Duration { return d.failingSince }

// ReachedAt returns when a connection was last opened, 0 for never.
func (d *Detector) ReachedAt() time.Duration { return d.reachedAt }

// Failures returns the number of endpoints that have failed in a row.
func (d *Detector) Failures() int { return len(d.failed) }

// Due returns the endpoints to which connections are to be opened now: for comparison after a failure,
// or to find out whether the link is back. The results must be recorded. endpoints are the hashes of
// all known endpoints; start, a random number, is where the search among them begins.
func (d *Detector) Due(now time.Duration, endpoints []uint64, start int) []uint64 {
	d.expire(now)
	switch {
	case d.lost && now-d.triedAt >= trialInterval:
		d.triedAt = now
		return spread(endpoints, start, 1)
	case d.comparisonDue(now):
		d.compared, d.comparedAt = true, now
		others := slices.DeleteFunc(slices.Clone(endpoints), func(e uint64) bool { return d.hasFailed(e) })
		due := spread(others, start, max(1, needed(len(endpoints))-len(d.failed)))
		for _, e := range due {
			d.chosen[e] = true
		}
		return due
	}
	return nil
}

// NextDue returns the time until Due may return something; ok is false if nothing is to come.
func (d *Detector) NextDue(now time.Duration) (wait time.Duration, ok bool) {
	switch {
	case d.lost:
		return max(0, d.triedAt+trialInterval-now), true
	case len(d.failed) == 0:
		return 0, false
	case d.comparisonDue(now):
		return 0, true
	}
	return max(0, d.comparedAt+comparisonInterval-now), true
}

func (d *Detector) hasFailed(endpoint uint64) bool {
	_, failed := d.failed[endpoint]
	return failed
}

// spread returns up to n endpoints at equal distances in the list, which is ordered by service: what
// fails together, such as the endpoints of a service, should not be all that is compared.
func spread(endpoints []uint64, start, n int) []uint64 {
	n = min(n, len(endpoints))
	var chosen []uint64
	for i := range n {
		chosen = append(chosen, endpoints[(start+i*len(endpoints)/n)%len(endpoints)])
	}
	return chosen
}
