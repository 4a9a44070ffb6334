package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivefield/chivefield/core/members"
)

// BenchmarkPolicy simulates loads on engines of different speeds and reports the share of the
// attainable value that was earned, over eight seeds.
func BenchmarkPolicy(b *testing.B) {
	for _, late := range []float64{0.1, 0.5} {
		for _, load := range []float64{0.7, 1, 1.5, 2, 3} {
			b.Run(fmt.Sprintf("late=%v/load=%v", late, load), func(b *testing.B) {
				const seeds = 8
				earned := 0.0
				for seed := range uint64(seeds) {
					p := newSimulation(seed, 8, 11, mixedSlowness, workloadMix(load, late))
					p.run(20 * time.Second)
					earned += p.valueShare()
				}
				for b.Loop() {
				}
				b.ReportMetric(earned/seeds, "earned")
			})
		}
	}
}

// BenchmarkLargePolicy simulates 66 VMs and 60 engines in four failure domains.
func BenchmarkLargePolicy(b *testing.B) {
	var slow []float64
	for i := range 60 {
		slow = append(slow, mixedSlowness[i%len(mixedSlowness)])
	}
	for _, load := range []float64{0.5, 0.8, 1, 1.5, 2} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			const seeds = 2
			earned := 0.0
			for seed := range uint64(seeds) {
				p := newMultiDomainSimulation(seed, 66, 10, 4, slow, workloadMix(load*60/9*10/11, 0.3))
				p.run(12 * time.Second)
				earned += p.valueShare()
			}
			for b.Loop() {
			}
			b.ReportMetric(earned/seeds, "earned")
		})
	}
}

// largeEventMix returns three kinds of request for engines whose events hold 15 tokens, at the
// rates of one failure domain with 40 engines.
func largeEventMix(load float64) []requestKind {
	return []requestKind{
		{name: "long", tier: 0, perSecond: 64 * load, prompt: 6670, output: 390, spread: 1.3, objective: 800 * time.Millisecond, limit: 12 * time.Second, onTimeValue: 7, lateValue: 3.6},
		{name: "middle", tier: 1, perSecond: 78 * load, prompt: 690, output: 290, spread: 1.2, objective: 400 * time.Millisecond, limit: 10 * time.Second, onTimeValue: 2.2, lateValue: 1.1},
		{name: "short", tier: 2, perSecond: 118 * load, prompt: 1860, output: 22, spread: 1.2, objective: 400 * time.Millisecond, limit: 2500 * time.Millisecond, onTimeValue: 0.29, lateValue: 0.14},
	}
}

// BenchmarkDomainPolicy simulates one failure domain with different numbers of placers.
func BenchmarkDomainPolicy(b *testing.B) {
	for _, placers := range []int{1, 3} {
		for _, load := range []float64{0.7, 1, 1.3, 1.8} {
			b.Run(fmt.Sprintf("placers=%d/load=%v", placers, load), func(b *testing.B) {
				const seeds = 3
				earned := 0.0
				for seed := range uint64(seeds) {
					p := newSimulation(seed, placers, 6, mixedSlownessOf(40), largeEventMix(load))
					p.tokens, p.maxPause = 15, 500*time.Millisecond
					p.run(12 * time.Second)
					earned += p.valueShare()
					if seed == 0 {
						b.Log(p)
					}
				}
				for b.Loop() {
				}
				b.ReportMetric(earned/seeds, "earned")
			})
		}
	}
}

// BenchmarkDecision measures placing and ending one request, with half of the slots of all
// endpoints taken.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{40, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New("self", "a")
			var list []*members.Endpoint
			for i := range n {
				list = append(list, &members.Endpoint{ID: fmt.Sprintf("e%05d", i), Service: simService, Slots: 10, FailureDomain: "a"})
			}
			s.SetEndpoints(0, simService, list, true)
			var loads []EndpointLoad
			for _, e := range list {
				loads = append(loads, EndpointLoad{EndpointHash(e.ID), Load{Running: 5, EventGap: 20 * time.Millisecond}})
			}
			s.ApplyPeerLoads(0, "other", "a", loads, true)
			h := uint64(0)
			for b.Loop() {
				h++
				s.Submit(0, Job{Handle: h, Service: simService, PromptTokens: 1000, Objective: time.Second, AbandonAt: 2 * time.Second})
				s.EndRun(0, h, Answered)
			}
		})
	}
}
