package claim

import (
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// update is a message about the end of a claim. It is sent until acknowledged.
type update struct {
	msg       *schema.Update
	cell      []uint32
	hash      uint64
	sends     int
	sentAt    time.Duration
	expiresAt time.Duration
	// acquisition is the id of the acquisition that waits for the ack; 0 for
	// none.
	acquisition uint64
}

// Abandon ends an acquisition whose result is no longer needed. The request was
// not dispatched and will not be.
func (n *Node) Abandon(now time.Duration, id uint64) {
	n.now = now
	if acq := n.acquisitions[id]; acq != nil {
		n.discard(acq)
	}
	n.handleLoopback()
}

// NotDispatched releases a granted claim that was never sent to an endpoint.
func (n *Node) NotDispatched(now time.Duration, id uint64) { n.Abandon(now, id) }

// RecordEnd records how a dispatched request ended.
func (n *Node) RecordEnd(now time.Duration, id uint64, state schema.RecordState) {
	n.now = now
	if acq := n.acquisitions[id]; acq != nil {
		n.sendUpdate(acq, &schema.Update{State: state})
		delete(n.acquisitions, id)
	}
	n.handleLoopback()
}

func (n *Node) sendUpdate(acq *acquisition, m *schema.Update) *update {
	n.lastCall++
	m.Call = n.lastCall
	m.Organisation, m.Id = acq.req.Key.Organisation, acq.req.Key.ID
	m.ClaimCall = acq.homeCall
	cell := n.cellOf(acq.domain, acq.hash)
	u := &update{msg: m, cell: cell, hash: acq.hash, expiresAt: n.now + n.cfg.TTL}
	n.updates[m.Call] = u
	n.updateOrder = append(n.updateOrder, m.Call)
	n.transmitUpdate(u)
	return u
}

func (n *Node) transmitUpdate(u *update) {
	u.sentAt = n.now
	to, ok := n.target(u.cell, u.hash, u.sends)
	u.sends++
	if ok {
		n.send(to, &schema.Message{Body: &schema.Message_Update{Update: u.msg}})
	}
}

// resendUpdates sends updates again, with backoff, until they are acknowledged
// or expire.
func (n *Node) resendUpdates() {
	calls := n.updateOrder
	n.updateOrder = nil
	for _, call := range calls {
		u := n.updates[call]
		if u == nil {
			continue
		}
		if n.now >= u.expiresAt {
			delete(n.updates, call)
			n.failUpdate(u)
			continue
		}
		n.updateOrder = append(n.updateOrder, call)
		if n.now >= u.sentAt+n.resendInterval(u.sends) {
			n.transmitUpdate(u)
		}
	}
}

func (n *Node) failUpdate(u *update) {
	if u.acquisition != 0 {
		n.out.Results = append(n.out.Results, Result{ID: u.acquisition, Verdict: Unknown, Reason: request.ReasonDomainUnreachable})
	}
}

// maxBackoffDoublings bounds the backoff between two transmissions, at 32 retry
// intervals.
const maxBackoffDoublings = 5

// resendInterval returns the time after which an unanswered message that was
// sent the given number of times is sent again. It doubles each time: what a
// late VM has not answered yet must not fill its queue.
func (n *Node) resendInterval(sends int) time.Duration {
	return n.cfg.Retry << min(max(sends-1, 0), maxBackoffDoublings)
}

func (n *Node) onUpdateAck(m *schema.UpdateAck) {
	u := n.updates[m.Call]
	if u == nil {
		return
	}
	delete(n.updates, m.Call)
	if u.acquisition != 0 {
		n.out.Results = append(n.out.Results, Result{ID: u.acquisition, Verdict: Absent})
	}
}

// ReleaseFenced releases the claim of a record in a domain, whichever VM made
// it, after its endpoint has promised never to run its stream. A claim covers
// one stream at one endpoint, so it can no longer run anything. The acquisition
// ends as Absent.
func (n *Node) ReleaseFenced(now time.Duration, id uint64, r *schema.Record, domain string) {
	n.now = now
	key := request.Key{Organisation: r.Organisation, ID: r.Id}
	acq := &acquisition{req: Request{Key: key}, hash: keyHash(key), homeCall: r.Call, domain: domain}
	u := n.sendUpdate(acq, &schema.Update{
		Released: true, Fenced: true, Dispatcher: r.Dispatcher, DispatcherIncarnation: r.DispatcherIncarnation,
	})
	u.acquisition = id
	u.expiresAt = now + n.cfg.Timeout
	n.handleLoopback()
}
