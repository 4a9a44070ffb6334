package allowance

import (
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

// Holders returns the VMs that hold equal shares of an organisation's allowance. Each failure
// domain has the same number of them, so that a partitioned domain has some, and within a domain
// they are chosen by rendezvous hashing. vms are all VMs ever seen.
func Holders(organisation string, vms []VM) []VM {
	domains := make(map[string][]VM)
	for _, v := range vms {
		domains[v.Domain] = append(domains[v.Domain], v)
	}
	each := max(1, targetHolderCount/max(1, len(domains)))
	var holders []VM
	for _, list := range domains {
		slices.SortFunc(list, func(a, b VM) int { return rendezvous.Compare(organisation, a.Address, b.Address) })
		holders = append(holders, list[:min(each, len(list))]...)
	}
	slices.SortFunc(holders, func(a, b VM) int { return strings.Compare(a.Address, b.Address) })
	return holders
}
