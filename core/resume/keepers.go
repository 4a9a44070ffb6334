package resume

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/rendezvous"
)

// VM is a VM that may keep records.
type VM struct {
	Address, Domain string
	hash            uint32
}

// NewVM returns the VM at an address in a failure domain.
func NewVM(address, domain string) VM {
	return VM{Address: address, Domain: domain, hash: uint32(xxhash.Sum64String(address))}
}

// keeperCount is the number of keepers of a stream. Two hold its record, in two failure domains if there
// are as many. The third stands in where one of them began the stream, and is asked too: VMs that differ
// in one VM of their lists agree in a keeper.
const (
	keeperCount = 3
	tellCount   = 2
)

// weighed is a VM with its weight for a key.
type weighed struct {
	vm     *VM
	weight uint64
}

func (a weighed) less(b weighed) bool {
	switch {
	case a.vm == nil || b.vm == nil:
		return a.vm == nil && b.vm != nil
	case a.weight != b.weight:
		return a.weight < b.weight
	}
	return a.vm.Address > b.vm.Address
}

// Keepers returns the keepers of a stream in order of rank. All VMs with the same list return the same. It looks at
// each VM once: a large deployment has thousands.
func Keepers(key Key, vms []VM) []VM {
	// top holds the VMs of the highest weights, far the highest in another failure domain than top[0].
	var top [keeperCount]weighed
	var far weighed
	for i := range vms {
		w := weighed{&vms[i], rendezvous.Weight(uint64(key), vms[i].hash)}
		first := top[0]
		switch {
		case first.less(w) && first.vm != nil && first.vm.Domain != w.vm.Domain:
			far = first
		case w.less(first) && first.vm.Domain != w.vm.Domain && far.less(w):
			far = w
		}
		insert(&top, w)
	}
	if top[0].vm == nil {
		return nil
	}
	keepers := []VM{*top[0].vm}
	if far.vm != nil {
		keepers = append(keepers, *far.vm)
	}
	for _, w := range top[1:] {
		if w.vm != nil && w.vm != far.vm && len(keepers) < keeperCount {
			keepers = append(keepers, *w.vm)
		}
	}
	return keepers
}

// insert inserts a VM into a list in descending order.
func insert(top *[keeperCount]weighed, w weighed) {
	for i := range top {
		if top[i].less(w) {
			top[i], w = w, top[i]
		}
	}
}

// ToTell returns those of a stream's keepers that the VM that began it tells: itself left out, the first two.
func ToTell(self string, keepers []VM) []VM {
	others := slices.DeleteFunc(slices.Clone(keepers), func(k VM) bool { return k.Address == self })
	return others[:min(tellCount, len(others))]
}
