package claim

import (
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// update is a message about the end of a claim, sent until acked.
type update struct {
	msg    *schema.Update
	cell   []uint32
	hash   uint64
	tries  int
	sentAt time.Duration
	until  time.Duration
	// flight waits for the ack; 0 for none.
	flight uint64
}

// Forget ends a flight that nobody waits for. The request was not dispatched
// and will not be.
func (n *Node) Forget(now time.Duration, id uint64) {
	n.now = now
	if f := n.flights[id]; f != nil {
		n.drop(f)
	}
	n.runLocal()
}

// NotDispatched gives back a granted claim that was never sent to an endpoint.
func (n *Node) NotDispatched(now time.Duration, id uint64) { n.Forget(now, id) }

// Ended notes how a dispatched request ended.
func (n *Node) Ended(now time.Duration, id uint64, state schema.RecordState) {
	n.now = now
	if f := n.flights[id]; f != nil {
		n.sendUpdate(f, &schema.Update{State: state})
		delete(n.flights, id)
	}
	n.runLocal()
}

func (n *Node) sendUpdate(f *flight, m *schema.Update) *update {
	n.lastCall++
	m.Call = n.lastCall
	m.Organisation, m.Id = f.wish.Key.Organisation, f.wish.Key.ID
	m.ClaimCall = f.home
	cell := n.cellOf(f.domain, f.hash)
	u := &update{msg: m, cell: cell, hash: f.hash, until: n.now + n.cfg.TTL}
	n.updates[m.Call] = u
	n.updOrder = append(n.updOrder, m.Call)
	n.trySend(u)
	return u
}

func (n *Node) trySend(u *update) {
	u.sentAt = n.now
	to, ok := n.target(u.cell, u.hash, u.tries)
	u.tries++
	if ok {
		n.send(to, &schema.Message{Body: &schema.Message_Update{Update: u.msg}})
	}
}

// resendUpdates repeats updates, ever more slowly, until acked.
func (n *Node) resendUpdates() {
	calls := n.updOrder
	n.updOrder = nil
	for _, call := range calls {
		u := n.updates[call]
		if u == nil {
			continue
		}
		if n.now >= u.until {
			delete(n.updates, call)
			n.giveUpUpdate(u)
			continue
		}
		n.updOrder = append(n.updOrder, call)
		if n.now >= u.sentAt+n.cfg.Retry*time.Duration(min(u.tries, maxBackoff)) {
			n.trySend(u)
		}
	}
}

func (n *Node) giveUpUpdate(u *update) {
	if u.flight != 0 {
		n.out.Results = append(n.out.Results, Result{Flight: u.flight, Verdict: Unknown, Reason: request.ReasonDomainUnreachable})
	}
}

// maxBackoff bounds how many retry intervals lie between two sendings.
const maxBackoff = 32

func (n *Node) onUpdateAck(m *schema.UpdateAck) {
	u := n.updates[m.Call]
	if u == nil {
		return
	}
	delete(n.updates, m.Call)
	if u.flight != 0 {
		n.out.Results = append(n.out.Results, Result{Flight: u.flight, Verdict: Absent})
	}
}

// Fence gives back the claim of a record in a domain, whoever made it, after its
// endpoint promised never to run its stream. A claim covers one stream at one
// endpoint, so it can no longer run anything. The flight ends as Absent.
func (n *Node) Fence(now time.Duration, id uint64, r *schema.Record, domain string) {
	n.now = now
	key := request.Key{Organisation: r.Organisation, ID: r.Id}
	f := &flight{wish: Wish{Key: key}, hash: keyHash(key), home: r.Call, domain: domain}
	u := n.sendUpdate(f, &schema.Update{
		Released: true, Fenced: true, Dispatcher: r.Dispatcher, DispatcherIncarnation: r.DispatcherIncarnation,
	})
	u.flight = id
	u.until = now + n.cfg.Timeout
	n.runLocal()
}
