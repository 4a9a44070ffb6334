package entry

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/schema"
)

// firstHolders is the number of holders asked at first; the others are asked only if these have too
// little.
const firstHolders = 2

// requestGrants asks holders of an organisation's allowance for an amount: at first the nearest
// live ones, with more set all others.
func (p *peers) requestGrants(want allowance.Request, more bool) {
	asked := p.holdersByDistance(want.Organisation)
	if more {
		asked = asked[min(firstHolders, len(asked)):]
	} else {
		asked = asked[:min(firstHolders, len(asked))]
	}
	n := p.newNote()
	n.Wants = []*schema.AllowanceGrant{{Organisation: want.Organisation, Amount: want.Units, Reserve: want.Reserve}}
	b := p.encode(n)
	for _, pe := range asked {
		p.write(b, pe.addr)
	}
}

// holdersByDistance returns the holders of an organisation's allowance other than this VM: live
// ones first, and among those the ones of this VM's failure domain.
func (p *peers) holdersByDistance(organisation string) []*peer {
	list := p.d.shares.holdersOf(organisation)
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*peer
	for _, v := range list {
		if pe := p.byAddress[v.Address]; pe != nil {
			found = append(found, pe)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *peer) int { return p.distance(now, a) - p.distance(now, b) })
	return found
}

// distance returns the order in which a VM is asked, lower first.
func (p *peers) distance(now time.Duration, pe *peer) int {
	switch {
	case !pe.isAlive(now):
		return 2
	case pe.domain != p.d.settings.Vm.FailureDomain:
		return 1
	}
	return 0
}

// refund credits what a request that did not run had spent and sends what this VM may not keep to
// another holder.
func (p *peers) refund(a allowance.Amount) {
	back := p.d.shares.refund(a)
	if holders := p.holdersByDistance(a.Organisation); back > 0 && len(holders) > 0 {
		p.returnUnits(a.Organisation, back, holders[0].addr)
	}
}

// returnUnits sends an unused amount back to a VM.
func (p *peers) returnUnits(organisation string, units float64, to *net.UDPAddr) {
	n := p.newNote()
	n.Returned = true
	n.Grants = []*schema.AllowanceGrant{{Organisation: organisation, Amount: units}}
	p.send(n, to)
}

func allowanceRequest(w *schema.AllowanceGrant) allowance.Request {
	return allowance.Request{Amount: allowance.Amount{Organisation: w.Organisation, Units: w.Amount}, Reserve: w.Reserve}
}

// grantWants grants what this VM can spare of the requested amounts.
func (p *peers) grantWants(wants []*schema.AllowanceGrant, to *net.UDPAddr) {
	var grants []*schema.AllowanceGrant
	for _, w := range wants {
		if units := p.d.shares.grant(allowanceRequest(w)); units > 0 {
			grants = append(grants, &schema.AllowanceGrant{Organisation: w.Organisation, Amount: units})
		}
	}
	if len(grants) > 0 {
		n := p.newNote()
		n.Grants = grants
		p.send(n, to)
	}
}
