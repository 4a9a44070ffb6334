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
	if back <= 0 {
		return
	}
	if addr, stamp := p.latestSeenHolder(a.Organisation); addr != nil {
		p.returnUnits(a.Organisation, back, stamp, addr)
	}
}

// latestSeenHolder returns the holder of an organisation's allowance whose stamp is the most recent;
// nil if this VM has heard from none.
func (p *peers) latestSeenHolder(organisation string) (*net.UDPAddr, allowance.Stamp) {
	list := p.d.shares.holdersOf(organisation)
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest *peer
	for _, v := range list {
		if pe := p.byAddress[v.Address]; pe != nil && pe.lastSeen > 0 && (latest == nil || pe.lastSeen > latest.lastSeen) {
			latest = pe
		}
	}
	if latest == nil {
		return nil, allowance.Stamp{}
	}
	return latest.addr, latest.stamp
}

// returnUnits sends an unused amount back to a VM, whose latest stamp is given.
func (p *peers) returnUnits(organisation string, units float64, to allowance.Stamp, addr *net.UDPAddr) {
	n := p.newNote()
	n.Returned = true
	p.sendGrants(n, []*schema.AllowanceGrant{{Organisation: organisation, Amount: units}}, to, addr)
}

// sendGrants sends amounts to a VM in a note.
func (p *peers) sendGrants(n *schema.PeerNote, grants []*schema.AllowanceGrant, to allowance.Stamp, addr *net.UDPAddr) {
	n.Grants = grants
	n.Transfer = &schema.Transfer{Number: p.transfers.Add(1), Receiver: to.Incarnation, ReceiverUptimeMs: uint64(to.At.Milliseconds())}
	p.send(n, addr)
}

// stampOf returns the stamp of a note's sender.
func stampOf(n *schema.PeerNote) allowance.Stamp {
	return allowance.Stamp{Incarnation: n.Incarnation, At: millis(n.UptimeMs)}
}

// transferOf returns the transfer of the amounts in a note.
func transferOf(n *schema.PeerNote) allowance.Transfer {
	t := n.GetTransfer()
	return allowance.Transfer{
		Sender: n.Incarnation, Number: t.GetNumber(),
		Receiver: allowance.Stamp{Incarnation: t.GetReceiver(), At: millis(t.GetReceiverUptimeMs())},
	}
}

// receiveGrants credits the amounts in a note and returns the excess.
func (p *peers) receiveGrants(n *schema.PeerNote, from *net.UDPAddr) {
	if len(n.Grants) == 0 {
		return
	}
	if !p.d.shares.accept(transferOf(n)) {
		p.d.count("grants_refused")
		p.d.log.Info().Str("from", n.Address).Uint64("sender", n.Incarnation).Uint64("number", n.GetTransfer().GetNumber()).
			Uint64("receiver", n.GetTransfer().GetReceiver()).Uint64("receiver_uptime_ms", n.GetTransfer().GetReceiverUptimeMs()).Msg("grant_refused")
		return
	}
	for _, g := range n.Grants {
		back := p.d.shares.receiveGrant(allowance.Amount{Organisation: g.Organisation, Units: g.Amount})
		// A returned amount is not returned again, or it would go back and forth.
		if back > 0 && !n.Returned {
			p.returnUnits(g.Organisation, back, stampOf(n), from)
		}
	}
}

func allowanceRequest(w *schema.AllowanceGrant) allowance.Request {
	return allowance.Request{Amount: allowance.Amount{Organisation: w.Organisation, Units: w.Amount}, Reserve: w.Reserve}
}

// grantWants grants what this VM can spare of the amounts that a note requests.
func (p *peers) grantWants(n *schema.PeerNote, from *net.UDPAddr) {
	var grants []*schema.AllowanceGrant
	for _, w := range n.Wants {
		if units := p.d.shares.grant(allowanceRequest(w)); units > 0 {
			grants = append(grants, &schema.AllowanceGrant{Organisation: w.Organisation, Amount: units})
		}
	}
	if len(grants) > 0 {
		p.sendGrants(p.newNote(), grants, stampOf(n), from)
	}
}
