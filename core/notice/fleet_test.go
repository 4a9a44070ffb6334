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
	noteEvery = 100 * time.Millisecond
	// hot and turn are how many records a note tells, wholeEvery which notes tell those in turn.
	hot, turn  = 16, 8
	wholeEvery = 10
	lossEvery  = 50
)

// spread plays how many notes it takes until all VMs of a number of failure domains know what one of them
// was told by its endpoints; each failure domain has as many placers as it needs.
func spread(t *testing.T, domains, perDomain, changes int) time.Duration {
	t.Helper()
	type vm struct {
		ledger *notice.Ledger
		peers  []cell.Peer
		asks   bool
		offset uint64
	}
	r := rand.New(rand.NewPCG(1, uint64(domains*perDomain)))
	vms := make([]vm, domains*perDomain)
	placers := max(1, perDomain/64)
	for i := range vms {
		v := &vms[i]
		v.ledger, v.offset, v.asks = notice.New(), r.Uint64N(1<<16), i%perDomain >= placers
		for k := range vms {
			if k == i {
				continue
			}
			near, places := k/perDomain == i/perDomain, k%perDomain < placers
			own := near && places && k%perDomain == i%placers
			asksMe := near && !places && !v.asks && (k%perDomain)%placers == i%perDomain
			v.peers = append(v.peers, cell.Peer{Address: strconv.Itoa(k), SameDomain: near, IsPlacer: places, SameCell: v.asks && own || asksMe})
		}
	}
	source := &vms[len(vms)-1]
	for name := range uint64(changes) {
		source.ledger.Hear(0, 0, name, notice.Notice{Limit: 2.5, HasLimit: true})
	}
	for n := uint64(1); n < 600; n++ {
		now := time.Duration(n) * noteEvery
		for i := range vms {
			v := &vms[i]
			records := v.ledger.Hot(now, hot)
			if n%wholeEvery == 0 {
				records = append(records, v.ledger.Turn(now, turn)...)
			}
			if len(records) == 0 {
				continue
			}
			to := cell.ChooseRecipients(v.peers, n+v.offset, !v.asks)
			for _, list := range [][]string{to.Loads, to.State, to.Heartbeats} {
				for _, address := range list {
					k, err := strconv.Atoi(address)
					if err != nil {
						t.Fatal(err)
					}
					for _, record := range records {
						if r.IntN(lossEvery) > 0 {
							vms[k].ledger.Merge(now, record, true)
						}
					}
				}
			}
		}
		all := true
		for i := range vms {
			for name := range uint64(changes) {
				all = all && vms[i].ledger.Holds(name).HasLimit
			}
		}
		if all {
			return now
		}
	}
	t.Fatal("some never hear of it")
	return 0
}

// settles is how long after an endpoint first names a limit it holds.
const settles = 3 * time.Second

// Guards against VMs that hear too late of a limit that an endpoint names.
func TestAllVMsHearOfALimitInTime(t *testing.T) {
	for _, c := range []struct{ domains, perDomain, changes int }{
		{3, 3, 1}, {4, 17, 1}, {6, 50, 1}, {13, 138, 1}, {3, 3, 100}, {4, 17, 100}, {6, 50, 100},
	} {
		took := spread(t, c.domains, c.perDomain, c.changes)
		t.Logf("%d VMs, %d endpoints: %v", c.domains*c.perDomain, c.changes, took)
		if took > settles {
			t.Errorf("%v at %d VMs, %d endpoints", took, c.domains*c.perDomain, c.changes)
		}
	}
}
