package allowance

import "time"

// maxStampAge is how long a transfer is accepted after the receiver stated the time that it names.
// Grants arrive within a few ms. Units that are sent back are sent to a VM that was heard from at
// some earlier time: in a failure domain of 170 VMs each hears each other every 4 s.
const maxStampAge = 5 * time.Second

// Stamp is a time on the clock of one process, as that process stated it.
type Stamp struct {
	// Incarnation identifies the process; 0 if no stamp of it is known.
	Incarnation uint64
	At          time.Duration
}

// Transfer identifies one movement of units between two processes.
type Transfer struct {
	// Sender is the incarnation of the sending process, Number counts its transfers.
	Sender, Number uint64
	// Receiver is the latest stamp of the receiving process that the sender knows.
	Receiver Stamp
}

// Receipts are the transfers that one process received. A datagram may arrive more than once, at
// any time, and also at the next process with the receiver's address: the units of a transfer
// must be credited once at most. It is not safe for concurrent use.
type Receipts struct {
	own uint64
	// recent and older hold every transfer that was accepted within maxStampAge; older ones are
	// refused for their stamp.
	recent, older map[transferKey]struct{}
	rotatedAt     time.Duration
}

type transferKey struct{ sender, number uint64 }

// NewReceipts returns the receipts of the process with the given incarnation.
func NewReceipts(own uint64) *Receipts {
	return &Receipts{own: own, recent: make(map[transferKey]struct{})}
}

// Accept reports whether a transfer that arrives now may be credited, and records it.
func (r *Receipts) Accept(now time.Duration, t Transfer) bool {
	if t.Receiver.Incarnation != r.own || now-t.Receiver.At > maxStampAge {
		return false
	}
	if now-r.rotatedAt > maxStampAge {
		r.recent, r.older, r.rotatedAt = make(map[transferKey]struct{}), r.recent, now
	}
	key := transferKey{t.Sender, t.Number}
	_, isRecent := r.recent[key]
	_, isOlder := r.older[key]
	if isRecent || isOlder {
		return false
	}
	r.recent[key] = struct{}{}
	return true
}
