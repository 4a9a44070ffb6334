package entry

import (
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/schema"
)

// BenchmarkNote measures the size of a note and the cost of encoding and decoding it.
func BenchmarkNote(b *testing.B) {
	for _, c := range []struct{ uses, vms int }{{12, 0}, {60, 66}, {128, 1800}} {
		b.Run(fmt.Sprintf("uses=%d/vms=%d", c.uses, c.vms), func(b *testing.B) {
			n := &schema.PeerNote{Vm: "edge-kewdale-a-12", Incarnation: 1 << 60, Address: "10.1.0.25:7600", FailureDomain: "kewdale-a", ConfigVersion: 1000, Number: 10000, FollowsConfig: true}
			for i := range c.uses {
				n.Uses = append(n.Uses, &schema.EndpointUse{Endpoint: uint64(i) << 40, Running: 2, Waiting: 1, PromptTokens: 5000, EventGapUs: 20000})
			}
			for i := range c.vms {
				n.Vms = append(n.Vms, listEntry(allowance.VM{Address: fmt.Sprintf("10.%d.%d.25:7600", i/250, i%250), Domain: "kewdale-a"}))
			}
			size := 0
			for b.Loop() {
				m, err := proto.Marshal(n)
				if err != nil {
					b.Fatal(err)
				}
				if err := proto.Unmarshal(m, &schema.PeerNote{}); err != nil {
					b.Fatal(err)
				}
				size = len(m)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkPlacing measures the datagrams of one request that another VM places: their total size
// without UDP and IP headers, and the cost of encoding and decoding them.
func BenchmarkPlacing(b *testing.B) {
	const handle = 1 << 63
	notes := []*schema.PeerNote{
		{PlaceAsks: []*schema.PlaceAsk{{
			Handle: handle, Service: "chive-review", Tier: 1, Prompt: 6600, Events: 60, ObjectiveUs: 800000, AbandonUs: 3200000,
			LimitUs: 15000000, MaxPauseUs: 250000, FailureDomain: "kewdale-a",
		}}},
		{PlaceDecisions: []*schema.PlaceDecision{{
			Handle: handle, Verdict: schema.PlaceDecision_PLACED, Endpoint: handle + 1, PredictedUs: 120000, Candidates: 128, Waiting: 12,
			Running: 8, PromptTokens: 5000, EventGapUs: 20000,
		}}},
		{Progress: []*schema.RunProgress{{Handle: handle, Started: true}}},
		{Progress: []*schema.RunProgress{{Handle: handle, Ended: true}}},
	}
	sizes := 0
	for b.Loop() {
		sizes = 0
		for _, n := range notes {
			m, err := proto.Marshal(n)
			if err != nil {
				b.Fatal(err)
			}
			if err := proto.Unmarshal(m, &schema.PeerNote{}); err != nil {
				b.Fatal(err)
			}
			sizes += len(m)
		}
	}
	b.ReportMetric(float64(sizes), "bytes")
}

// BenchmarkReconcile measures processing one note from each of 49 VMs that have 12 requests each at
// this one. With the requests of all VMs in one map a note takes 168 us on a busy machine, with a
// map for each VM 1.3 us; at ten notes a second from each VM that is 8% of a core and 0.1%.
func BenchmarkReconcile(b *testing.B) {
	d := newDaemonWithUptime(b, time.Minute)
	d.peers.eligible.Store(true)
	notes := make([]*schema.PeerNote, 49)
	froms := make([]*net.UDPAddr, 49)
	for i := range notes {
		froms[i] = &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 20000 + i}
		notes[i] = &schema.PeerNote{Address: froms[i].String(), Loads: true, Placer: d.settings.Listen.Peers}
		for k := range 12 {
			h := uint64(i*100 + k)
			d.remoteJobs.handleRequest(&schema.PlaceAsk{Handle: h, Service: "v"}, froms[i])
			notes[i].Placed = append(notes[i].Placed, h)
		}
	}
	i := 0
	for b.Loop() {
		d.remoteJobs.reconcile(notes[i%len(notes)], froms[i%len(notes)])
		i++
	}
}
