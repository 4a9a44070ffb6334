package suspect

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// fleet is VMs that tell each other what they know, in virtual time.
type fleet struct {
	rnd          *rand.Rand
	vms          []*Tracker
	now          time.Duration
	nextEndpoint uint64
	// partitioned keeps the first half of the VMs from the others.
	partitioned bool
	// running are copies of the request at endpoints.
	running []copyRun
	runs    []time.Duration
	ends    []time.Duration
	// innocents are neighbours that were cut with it.
	innocents int
}

type copyRun struct {
	vm         int
	generation int
	until      time.Duration
}

const (
	// gossipInterval, noteTo and hotMost are how VMs tell each other: each tenth of a second
	// five others, of the eight that matter most.
	gossipInterval    = 100 * time.Millisecond
	gossipFanout      = 5
	recordsPerMessage = 8
	// lossRate is the share of notes that are lossRate.
	lossRate = 0.02
	// neighbours are what else an endpoint runs.
	neighbours = 11
	// runTime is how long an endpoint runs the request before it ends.
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

// gossip lets each VM send one note.
func (f *fleet) gossip() {
	type message struct {
		to      int
		records []Record
	}
	var messages []message
	for i, l := range f.vms {
		hot := l.Recent(f.now, recordsPerMessage)
		if len(hot) == 0 {
			continue
		}
		for range gossipFanout {
			if to := f.rnd.IntN(len(f.vms)); f.rnd.Float64() >= lossRate && !f.separated(i, to) {
				messages = append(messages, message{to, hot})
			}
		}
	}
	f.now += gossipInterval
	for _, n := range messages {
		for _, r := range n.records {
			f.vms[n.to].Merge(f.now, r)
		}
	}
}

// send sends a copy of the request by way of a VM, if that one lets it pass.
func (f *fleet) send(d Digest, vm int) {
	if v := f.vms[vm].Status(d); !v.Convicted() {
		f.runs = append(f.runs, f.now)
		f.running = append(f.running, copyRun{vm, v.Generation, f.now + runTime})
	}
}

// end ends the endpoints of copies that have run for their time, with their neighbours.
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
			l := f.vms[f.rnd.IntN(len(f.vms))]
			l.RecordCut(f.now, f.now-runTime, digestOf(f.innocents), f.nextEndpoint, 0)
			l.RecordEnd(f.now, f.nextEndpoint)
		}
	}
	f.running = kept
}

// simulate sends the request some times each round for a time.
func (f *fleet) simulate(d Digest, perRound int, rounds int) {
	for range rounds {
		for range perRound {
			f.send(d, f.rnd.IntN(len(f.vms)))
		}
		f.gossip()
		f.end(d)
	}
}

// lateRuns is how many runs came later than a time after the third endpoint had ended.
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

// Symptom: each VM let the request pass anew. Sequence: each sending arrives at another VM,
// and endpoints end at one VM's sending each. Well inside the three seconds after the third
// end no VM sends it any more, at any number of VMs and rates, though notes are lost.
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

// convergenceLimit is the time after the third end within which all VMs must know, half of the
// shortest time after which those in touch have to.
const convergenceLimit = 1500 * time.Millisecond

func checkConvictionSpreads(t *testing.T, n, perRound int, seed uint64) {
	t.Helper()
	f := newFleet(seed, n)
	d := digestOf(0)
	// With one sending a round the third end comes after 0.4 s.
	f.simulate(d, perRound, 24)
	if late := f.lateRuns(convergenceLimit); late != 0 || len(f.ends) < ConvictionLevel {
		t.Errorf("%d VMs, %d sendings a round, seed %d: %d runs later than %v after the third end; %d ended in all",
			n, perRound, seed, late, convergenceLimit, len(f.ends))
	}
	for i := 1; i <= f.innocents; i++ {
		if v := f.vms[i%n].Status(digestOf(i)); v.Level > 1 {
			t.Fatalf("%d VMs, seed %d: a neighbour counts %d", n, seed, v.Level)
		}
	}
}

// In a cut each side bounds itself by what it saw; what it learns afterwards lowers nothing.
func TestEachPartitionSideConvicts(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 8)
		f.partitioned = true
		d := digestOf(0)
		f.simulate(d, 2, 40)
		for i, l := range f.vms {
			if !l.Status(d).Convicted() {
				t.Fatalf("seed %d: VM %d still lets it pass", seed, i)
			}
		}
		f.partitioned = false
		before := len(f.runs)
		f.simulate(d, 2, 40)
		if len(f.runs) != before {
			t.Errorf("seed %d: %d runs after the cut", seed, len(f.runs)-before)
		}
	}
}

// A VM that starts after all that is told in turn.
func TestStartedVMReceivesConvictions(t *testing.T) {
	f := newFleet(1, 8)
	d := digestOf(0)
	f.simulate(d, 2, 60)
	started := New()
	for _, r := range f.vms[3].HighestLevel(f.now, recordsPerMessage) {
		started.Merge(0, r)
	}
	if !started.Status(d).Convicted() {
		t.Error("what matters most is not told first")
	}
	fresh := New()
	for range 20 {
		for _, r := range f.vms[3].NextInRotation(f.now, recordsPerMessage) {
			fresh.Merge(0, r)
		}
	}
	if !fresh.Status(d).Convicted() {
		t.Error("it still lets the request pass")
	}
}

// BenchmarkNotes measures what the records of one note take: those of the ends of many
// endpoints at once, and a look where 1,000 suspects are known.
func BenchmarkNotes(b *testing.B) {
	l := New()
	for i := range maxEntries {
		cutAndEnd(l, 0, digestOf(i), uint64(i/12))
	}
	b.Run("hot", func(b *testing.B) {
		for b.Loop() {
			_ = l.Recent(0, recordsPerMessage)
		}
	})
	b.Run("turn", func(b *testing.B) {
		for b.Loop() {
			_ = l.NextInRotation(0, recordsPerMessage)
		}
	})
	for _, n := range []int{0, maxEntries} {
		b.Run("look/"+strconv.Itoa(n), func(b *testing.B) {
			k := New()
			if n > 0 {
				k = l
			}
			d := digestOf(5)
			for b.Loop() {
				_ = k.Status(d)
			}
		})
	}
}
