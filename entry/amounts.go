package entry

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/schema"
)

// firstAsked is how many keepers are asked at once; more only if they lack too.
const firstAsked = 2

// ask asks keepers of an organisation's allowance for an amount: first some of those
// that are near and alive, then all others.
func (p *peers) ask(want allowance.Request, more bool) {
	asked := p.keepers(want.Organisation)
	if more {
		asked = asked[min(firstAsked, len(asked)):]
	} else {
		asked = asked[:min(firstAsked, len(asked))]
	}
	n := p.note()
	n.Wants = []*schema.AllowanceGrant{{Organisation: want.Organisation, Amount: want.Units, Reserve: want.Reserve}}
	b := p.encode(n)
	for _, pe := range asked {
		p.write(b, pe.addr)
	}
}

// keepers returns those that keep an organisation's allowance, but for this VM: the
// living first, and of those the ones of the own failure domain.
func (p *peers) keepers(organisation string) []*peer {
	list := p.d.shares.keepersOf(organisation)
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*peer
	for _, v := range list {
		if pe := p.addrs[v.Address]; pe != nil {
			found = append(found, pe)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *peer) int { return p.distance(now, a) - p.distance(now, b) })
	return found
}

// distance orders VMs by whom to ask first.
func (p *peers) distance(now time.Duration, pe *peer) int {
	switch {
	case !pe.isAlive(now):
		return 2
	case pe.domain != p.d.settings.Vm.FailureDomain:
		return 1
	}
	return 0
}

// refund gives back what a request that was not run had spent; what this VM may not
// keep goes to a keeper.
func (p *peers) refund(a allowance.Amount) {
	back := p.d.shares.refund(a)
	if k := p.keepers(a.Organisation); back > 0 && len(k) > 0 {
		p.giveBack(a.Organisation, back, k[0].addr)
	}
}

// giveBack returns an amount that was not used.
func (p *peers) giveBack(organisation string, units float64, to *net.UDPAddr) {
	n := p.note()
	n.Returned = true
	n.Grants = []*schema.AllowanceGrant{{Organisation: organisation, Amount: units}}
	p.send(n, to)
}

func request(w *schema.AllowanceGrant) allowance.Request {
	return allowance.Request{Amount: allowance.Amount{Organisation: w.Organisation, Units: w.Amount}, Reserve: w.Reserve}
}

// answer gives what can be spared.
func (p *peers) answer(wants []*schema.AllowanceGrant, to *net.UDPAddr) {
	var grants []*schema.AllowanceGrant
	for _, w := range wants {
		if units := p.d.shares.give(request(w)); units > 0 {
			grants = append(grants, &schema.AllowanceGrant{Organisation: w.Organisation, Amount: units})
		}
	}
	if len(grants) > 0 {
		n := p.note()
		n.Grants = grants
		p.send(n, to)
	}
}
