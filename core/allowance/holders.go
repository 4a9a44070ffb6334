package allowance

import (
	"cmp"
	"slices"
	"strings"

	"github.com/chivefield/chivefield/rendezvous"
)

// VM is a VM that takes part in enforcing the allowances.
type VM struct{ Address, Domain string }

// targetHolderCount is how many VMs hold shares of one organisation's allowance. If all VMs of a
// large deployment held one, each share would be smaller than one request; with few holders, the
// loss of one would cost much of the allowance.
const targetHolderCount = 12

// Fleet is all VMs ever seen, by failure domain.
type Fleet struct{ domains map[string][]VM }

// NewFleet returns a Fleet of the given VMs.
func NewFleet(vms []VM) Fleet {
	f := Fleet{domains: make(map[string][]VM)}
	for _, v := range vms {
		f.domains[v.Domain] = append(f.domains[v.Domain], v)
	}
	return f
}

// Holders returns the VMs that hold equal shares of an organisation's allowance. Each failure
// domain has the same number of them, so that a partitioned domain has some, and within a domain
// they are chosen by rendezvous hashing.
func (f Fleet) Holders(organisation string) []VM {
	each := max(1, targetHolderCount/max(1, len(f.domains)))
	var holders []VM
	for _, list := range f.domains {
		holders = append(holders, highestRanked(organisation, list, each)...)
	}
	slices.SortFunc(holders, func(a, b VM) int { return strings.Compare(a.Address, b.Address) })
	return holders
}

// highestRanked returns the n VMs of a list that rank highest for a key. Each VM is hashed once: with
// hundreds of organisations and VMs, sorting all takes a second of a small VM's processor time
// whenever a VM is added.
func highestRanked(key string, list []VM, n int) []VM {
	type ranked struct {
		VM
		hash uint64
	}
	best := make([]ranked, 0, n+1)
	for _, v := range list {
		r := ranked{v, rendezvous.Hash(key, v.Address)}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.hash, a.hash), strings.Compare(a.Address, b.Address))
		})
		if at == n {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(n, len(best))]
	}
	vms := make([]VM, 0, len(best))
	for _, r := range best {
		vms = append(vms, r.VM)
	}
	return vms
}
