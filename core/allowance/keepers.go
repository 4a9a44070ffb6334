package allowance

import (
	"slices"
	"strings"

	"github.com/chivefield/chivefield/rendezvous"
)

// VM is one of those that share the allowances.
type VM struct{ Address, Domain string }

// targetHolderCount is how many VMs keep parts of one organisation's allowance. If all
// of a large deployment did, each part would be smaller than one request; if few
// did, the loss of one would cost much.
const targetHolderCount = 12

// Holders are the VMs that keep an organisation's allowance, in equal parts: as
// many in each failure domain, so that a domain that is cut off has some, and there
// the first by rendezvous hashing. vms are all VMs ever heard of.
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
