package notice_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/chivefield/chivefield/core/cell"
	"github.com/chivefield/chivefield/core/notice"
)

const (
	gossipInterval = 100 * time.Millisecond
	// recentRecords and rotationRecords are the numbers of records in a note; one note in rotationEvery carries
	// the latter. One in lossEvery records is lost.
	recentRecords, rotationRecords = 16, 8
	rotationEvery                  = 10
	lossEvery                      = 50
)

// timeToSpread simulates gossip and returns how long it takes until all VMs of a number of failure domains have
// received the limits that one VM learned from its endpoints. Each failure domain has as many placers as it needs.
func timeToSpread(t *testing.T, domains, perDomain, changes int) time.Duration {
	t.Helper()
	type vm struct {
		tracker *notice.Tracker
		others  cell.Neighbours
		asks    bool
		offset  uint64
	}
	r := rand.New(rand.NewPCG(1, uint64(domains*perDomain)))
	vms := make([]vm, domains*perDomain)
	placers := max(1, perDomain/64)
	for i := range vms {
		v := &vms[i]
		v.tracker, v.offset, v.asks = notice.New(), r.Uint64N(1<<16), i%perDomain >= placers
		for k := range vms {
			if k == i {
				continue
			}
			near, places := k/perDomain == i/perDomain, k%perDomain < placers
			own := near && places && k%perDomain == i%placers
			asksMe := near && !places && !v.asks && (k%perDomain)%placers == i%perDomain
			address := strconv.Itoa(k)
			if sameCell := v.asks && own || asksMe; sameCell || places {
				v.others.WithRole = append(v.others.WithRole, cell.Peer{Address: address, SameDomain: near, IsPlacer: places, SameCell: sameCell})
			}
			if near {
				v.others.Near = append(v.others.Near, address)
			} else {
				v.others.Far = append(v.others.Far, address)
			}
		}
	}
	source := &vms[len(vms)-1]
	for endpoint := range uint64(changes) {
		source.tracker.RecordResponse(0, 0, endpoint, notice.Notice{Limit: 2.5, HasLimit: true})
	}
	for n := uint64(1); n < 600; n++ {
		now := time.Duration(n) * gossipInterval
		for i := range vms {
			v := &vms[i]
			records := v.tracker.Recent(now, recentRecords)
			if n%rotationEvery == 0 {
				records = append(records, v.tracker.NextInRotation(now, rotationRecords)...)
			}
			if len(records) == 0 {
				continue
			}
			to := cell.ChooseRecipients(v.others, n+v.offset, !v.asks)
			for _, list := range [][]string{to.Loads, to.State, to.Heartbeats} {
				for _, address := range list {
					k, err := strconv.Atoi(address)
					if err != nil {
						t.Fatal(err)
					}
					for _, record := range records {
						if r.IntN(lossEvery) > 0 {
							vms[k].tracker.Merge(now, record, true)
						}
					}
				}
			}
		}
		all := true
		for i := range vms {
			for endpoint := range uint64(changes) {
				all = all && vms[i].tracker.Current(endpoint).HasLimit
			}
		}
		if all {
			return now
		}
	}
	t.Fatal("some VMs never received the limits")
	return 0
}

// convergenceLimit is the time after an endpoint first names a limit from which all VMs must respect it.
const convergenceLimit = 3 * time.Second

// Guards against VMs that receive a limit named by an endpoint too late.
func TestLimitReachesAllVMsInTime(t *testing.T) {
	for _, c := range []struct{ domains, perDomain, changes int }{
		{3, 3, 1}, {4, 17, 1}, {6, 50, 1}, {13, 138, 1}, {3, 3, 100}, {4, 17, 100}, {6, 50, 100},
	} {
		took := timeToSpread(t, c.domains, c.perDomain, c.changes)
		t.Logf("%d VMs, %d endpoints: %v", c.domains*c.perDomain, c.changes, took)
		if took > convergenceLimit {
			t.Errorf("%v at %d VMs, %d endpoints", took, c.domains*c.perDomain, c.changes)
		}
	}
}
