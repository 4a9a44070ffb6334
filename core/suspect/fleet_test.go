package suspect

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// fleet simulates VMs that gossip, in virtual time.
type fleet struct {
	rnd          *rand.Rand
	vms          []*Tracker
	now          time.Duration
	nextEndpoint uint64
	// partitioned separates the first half of the VMs from the second.
	partitioned bool
	// running are the copies of the request that run at endpoints.
	running []copyRun
	runs    []time.Duration
	ends    []time.Duration
	// innocents counts the other requests that were cut off with it.
	innocents int
}

type copyRun struct {
	vm         int
	generation int
	until      time.Duration
}

const (
	// gossipInterval, gossipFanout and recordsPerNote describe the gossip: every 100 ms each VM
	// sends its eight most important records to five others.
	gossipInterval = 100 * time.Millisecond
	gossipFanout   = 5
	recordsPerNote = 8
	// lossRate is the share of notes that are lost.
	lossRate = 0.02
	// neighbours is the number of other requests that an endpoint runs.
	neighbours = 11
	// runTime is how long an endpoint runs the request before it terminates.
	runTime = 100 * time.Millisecond
)

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1))}
	for range n {
		f.vms = append(f.vms, New())
	}
	return f
}

func (f *fleet) separated(a, b int) bool {
	return f.partitioned && (a < len(f.vms)/2) != (b < len(f.vms)/2)
}

// gossip lets each VM send one note to each of gossipFanout others.
func (f *fleet) gossip() {
	type message struct {
		to      int
		records []Record
	}
	var messages []message
	for i, tr := range f.vms {
		records := tr.Recent(f.now, recordsPerNote)
		if len(records) == 0 {
			continue
		}
		for range gossipFanout {
			if to := f.rnd.IntN(len(f.vms)); f.rnd.Float64() >= lossRate && !f.separated(i, to) {
				messages = append(messages, message{to, records})
			}
		}
	}
	f.now += gossipInterval
	for _, m := range messages {
		for _, r := range m.records {
			f.vms[m.to].Merge(f.now, r)
		}
	}
}

// send sends a copy of the request through a VM, unless that VM refuses it.
func (f *fleet) send(d Digest, vm int) {
	if v := f.vms[vm].Status(d); !v.Convicted() {
		f.runs = append(f.runs, f.now)
		f.running = append(f.running, copyRun{vm, v.Generation, f.now + runTime})
	}
}

// end terminates the endpoints of copies that have run for runTime, together with their
// neighbours.
func (f *fleet) end(d Digest) {
	kept := f.running[:0]
	for _, c := range f.running {
		if c.until > f.now {
			kept = append(kept, c)
			continue
		}
		f.nextEndpoint++
		f.ends = append(f.ends, f.now)
		f.vms[c.vm].RecordCut(f.now, f.now-runTime, d, f.nextEndpoint, c.generation)
		f.vms[c.vm].RecordEnd(f.now, f.nextEndpoint)
		for range neighbours {
			f.innocents++
			tr := f.vms[f.rnd.IntN(len(f.vms))]
			tr.RecordCut(f.now, f.now-runTime, digestOf(f.innocents), f.nextEndpoint, 0)
			tr.RecordEnd(f.now, f.nextEndpoint)
		}
	}
	f.running = kept
}

// simulate sends the request perRound times in each of a number of rounds.
func (f *fleet) simulate(d Digest, perRound int, rounds int) {
	for range rounds {
		for range perRound {
			f.send(d, f.rnd.IntN(len(f.vms)))
		}
		f.gossip()
		f.end(d)
	}
}

// lateRuns returns the number of runs that began later than window after the third endpoint
// terminated.
func (f *fleet) lateRuns(window time.Duration) int {
	if len(f.ends) < ConvictionLevel {
		return 0
	}
	n := 0
	for _, r := range f.runs {
		if r > f.ends[ConvictionLevel-1]+window {
			n++
		}
	}
	return n
}

// Guards against each VM admitting the request anew, when each retry arrives at another VM and
// each VM sees only the terminations that its own copies caused. All VMs must refuse the request
// well within three seconds of the third termination, at any number of VMs and any request rate,
// although notes are lost.
func TestConvictionReachesAllVMsInTime(t *testing.T) {
	for n, seeds := range map[int]uint64{3: 10, 8: 10, 66: 2, 300: 1, 1800: 1} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				for _, perRound := range []int{1, 4} {
					checkConvictionSpreads(t, n, perRound, seed)
				}
			}
		})
	}
}

// convergenceLimit is the time after the third termination within which all VMs must refuse the
// request. It is half of the shortest time that connected VMs are allowed.
const convergenceLimit = 1500 * time.Millisecond

func checkConvictionSpreads(t *testing.T, n, perRound int, seed uint64) {
	t.Helper()
	f := newFleet(seed, n)
	d := digestOf(0)
	// At one copy per round the third termination comes after 0.4 s.
	f.simulate(d, perRound, 24)
	if late := f.lateRuns(convergenceLimit); late != 0 || len(f.ends) < ConvictionLevel {
		t.Errorf("%d VMs, %d copies per round, seed %d: %d runs later than %v after the third termination; %d terminations in all",
			n, perRound, seed, late, convergenceLimit, len(f.ends))
	}
	for i := 1; i <= f.innocents; i++ {
		if v := f.vms[i%n].Status(digestOf(i)); v.Level > 1 {
			t.Fatalf("%d VMs, seed %d: a neighbour has level %d", n, seed, v.Level)
		}
	}
}

// During a partition each side convicts on its own sightings. After it has healed, the records of
// the other side lower no level.
func TestEachPartitionSideConvicts(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 8)
		f.partitioned = true
		d := digestOf(0)
		f.simulate(d, 2, 40)
		for i, tr := range f.vms {
			if !tr.Status(d).Convicted() {
				t.Fatalf("seed %d: VM %d still admits the request", seed, i)
			}
		}
		f.partitioned = false
		before := len(f.runs)
		f.simulate(d, 2, 40)
		if len(f.runs) != before {
			t.Errorf("seed %d: %d runs after the partition healed", seed, len(f.runs)-before)
		}
	}
}

// A VM that starts later receives the convictions, both among the first records sent to it and in
// rotation.
func TestStartedVMReceivesConvictions(t *testing.T) {
	f := newFleet(1, 8)
	d := digestOf(0)
	f.simulate(d, 2, 60)
	started := New()
	for _, r := range f.vms[3].HighestLevel(f.now, recordsPerNote) {
		started.Merge(0, r)
	}
	if !started.Status(d).Convicted() {
		t.Error("HighestLevel does not return the convicted request")
	}
	fresh := New()
	for range 20 {
		for _, r := range f.vms[3].NextInRotation(f.now, recordsPerNote) {
			fresh.Merge(0, r)
		}
	}
	if !fresh.Status(d).Convicted() {
		t.Error("VM still admits the request after a full rotation")
	}
}

// BenchmarkNotes measures building the records of one note while many requests are
// recent, and looking up the status of a request with 1,000 suspects known.
func BenchmarkNotes(b *testing.B) {
	tr := New()
	for i := range maxEntries {
		cutAndEnd(tr, 0, digestOf(i), uint64(i/12))
	}
	b.Run("hot", func(b *testing.B) {
		for b.Loop() {
			_ = tr.Recent(0, recordsPerNote)
		}
	})
	b.Run("turn", func(b *testing.B) {
		for b.Loop() {
			_ = tr.NextInRotation(0, recordsPerNote)
		}
	})
	for _, n := range []int{0, maxEntries} {
		b.Run("look/"+strconv.Itoa(n), func(b *testing.B) {
			k := New()
			if n > 0 {
				k = tr
			}
			d := digestOf(5)
			for b.Loop() {
				_ = k.Status(d)
			}
		})
	}
}
