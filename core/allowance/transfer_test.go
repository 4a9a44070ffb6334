package allowance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against units that are credited more than once: a network may lose a datagram, delay it,
// or deliver it many times, also to the next process of the VM that it was sent to.
func TestTransfersNeverMultiplyUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const organisation = "o"
		type process struct {
			*Limiter
			*Receipts
			startedAt time.Duration
			sent      uint64
		}
		type datagram struct {
			Transfer
			from, to int
			units    float64
			returned bool
		}
		limit := Limit{Organisation: organisation, Rate: 1000, Burst: 20000}
		tol := Tolerance{Window: 8 * time.Second, Slack: 5000}
		n := rapid.IntRange(2, 5).Draw(t, "vms")
		holders := rapid.IntRange(1, n).Draw(t, "holders")
		incarnations := uint64(0)
		start := func(i int, now time.Duration) *process {
			incarnations++
			p := &process{Limiter: New(tol), Receipts: NewReceipts(incarnations), startedAt: now}
			if i < holders {
				p.SetShares(now, equalShares(holders))
			}
			p.SetLimits(now, []Limit{limit})
			return p
		}
		vms := make([]*process, n)
		for i := range vms {
			vms[i] = start(i, 0)
		}
		// stamps are the latest stamps that each VM heard of each other.
		stamps := make([][]Stamp, n)
		for i := range stamps {
			stamps[i] = make([]Stamp, n)
		}
		stampOf := func(i int, now time.Duration) Stamp {
			return Stamp{Incarnation: vms[i].own, At: now - vms[i].startedAt}
		}
		var network []datagram
		send := func(from, to int, units float64, returned bool) {
			if units <= 0 {
				return
			}
			vms[from].sent++
			network = append(network, datagram{
				Transfer: Transfer{Sender: vms[from].own, Number: vms[from].sent, Receiver: stamps[from][to]},
				from:     from, to: to, units: units, returned: returned,
			})
		}
		var now time.Duration
		spent := 0.0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			i, j := rapid.IntRange(0, n-1).Draw(t, "vm"), rapid.IntRange(0, n-1).Draw(t, "other")
			units := float64(rapid.IntRange(1, 5000).Draw(t, "units"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				vms[i] = start(i, now)
			case 1:
				stamps[i][j] = stampOf(j, now)
			case 2, 3:
				// i asks j, which thereby hears from i; the grant names what j asked about.
				stamps[j][i] = stampOf(i, now)
				send(j, i, vms[j].Grant(now, Request{Amount: Amount{organisation, units}}), false)
			case 4, 5, 6, 7:
				if len(network) == 0 {
					break
				}
				m := network[rapid.IntRange(0, len(network)-1).Draw(t, "datagram")]
				to := vms[m.to]
				if !to.Accept(now-to.startedAt, m.Transfer) {
					break
				}
				excess := to.Credit(now, Amount{organisation, m.units}, units)
				stamps[m.to][m.from] = stampOf(m.from, now)
				if !m.returned {
					send(m.to, m.from, excess, true)
				}
			default:
				if vms[i].Spend(now, Request{Amount: Amount{organisation, units}}).OK {
					spent += units
				}
			}
			held := 0.0
			for _, p := range vms {
				held += p.buckets[organisation].balance
			}
			if refilled := limit.Rate * now.Seconds(); spent+held > refilled+1e-6 {
				t.Fatalf("%.0f units spent and %.0f held of %.0f that were refilled", spent, held, refilled)
			}
		}
	})
}

// A transfer is credited once, and neither long after the receiver stated its time nor by another
// process.
func TestReceiptsAcceptOnce(t *testing.T) {
	is := is.New(t)
	r := NewReceipts(7)
	at := func(number uint64, stamp time.Duration) Transfer {
		return Transfer{Sender: 1, Number: number, Receiver: Stamp{Incarnation: 7, At: stamp}}
	}
	is.True(r.Accept(time.Second, at(1, time.Second)))
	is.True(!r.Accept(time.Second, at(1, time.Second)))
	is.True(r.Accept(time.Second, at(2, time.Second)))
	is.True(!r.Accept(time.Second+maxStampAge+time.Millisecond, at(3, time.Second)))
	for now := time.Second; now < 5*maxStampAge; now += 100 * time.Millisecond {
		is.True(!r.Accept(now, at(1, time.Second)))
	}
	is.True(!NewReceipts(8).Accept(time.Second, at(4, time.Second)))
	is.True(!r.Accept(time.Second, Transfer{Sender: 1, Number: 5}))
}

// Receipts of transfers that are refused for their stamp anyway do not pile up.
func TestReceiptsAreForgotten(t *testing.T) {
	r := NewReceipts(7)
	for i := range uint64(100000) {
		now := time.Duration(i) * time.Millisecond
		r.Accept(now, Transfer{Sender: 1, Number: i, Receiver: Stamp{Incarnation: 7, At: now}})
	}
	if held, most := len(r.recent)+len(r.older), int(2*maxStampAge/time.Millisecond)+2; held > most {
		t.Fatalf("%d receipts held, at most %d are needed", held, most)
	}
}
