package daemon

import (
	"context"

	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/schema"
)

// loopInput is an input of the loop: either one event, or a peer's batch whose
// replies are returned in the same exchange.
type loopInput struct {
	event core.Event
	batch *peerBatch
}

// peerBatch holds the messages of one envelope from a peer.
type peerBatch struct {
	from        uint32
	incarnation uint64
	messages    []*schema.Message
	reply       chan []*schema.Message
}

// push sends an event to the loop and blocks while its channel is full.
func (d *Daemon) push(ctx context.Context, ev core.Event) {
	select {
	case d.events <- loopInput{event: ev}:
	case <-ctx.Done():
	}
}

// loop owns the core and is the only goroutine that accesses it.
func (d *Daemon) loop(ctx context.Context) error {
	node := core.New(d.coreConfig(), d.now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case it := <-d.events:
			if it.batch != nil {
				d.stepBatch(ctx, node, it.batch)
				continue
			}
			d.applyEffects(ctx, node.Step(d.now(), it.event), nil)
			if _, ok := it.event.(core.Tick); ok {
				d.publishState(node)
			}
		}
	}
}

// publishState makes the core's state visible to the other goroutines.
func (d *Daemon) publishState(node *core.Node) {
	s := node.Status()
	if old := d.status.Load(); old.Ready != s.Ready || old.Why != s.Why {
		d.log.Info().Bool("ready", s.Ready).Str("why", s.Why).Uint64("version", s.Version).Msg("readiness")
	}
	d.status.Store(&s)
	d.rules.Store(node.Rules())
	for id, l := range d.links {
		l.incarnation.Store(node.PeerIncarnation(id))
	}
}

// stepBatch processes a peer's messages. Messages that this causes for the same
// peer are returned in the reply.
func (d *Daemon) stepBatch(ctx context.Context, node *core.Node, b *peerBatch) {
	var replies []*schema.Message
	for _, m := range b.messages {
		effects := node.Step(d.now(), core.PeerMessage{From: b.from, Incarnation: b.incarnation, Message: m})
		d.applyEffects(ctx, effects, func(s core.Send) bool {
			if s.To != b.from {
				return false
			}
			replies = append(replies, s.Message)
			return true
		})
	}
	b.reply <- replies
}

// applyEffects executes effects. It does not block: messages to a goroutine
// that is behind are dropped, and the core tolerates that as it does loss on
// the network.
func (d *Daemon) applyEffects(ctx context.Context, effects []core.Effect, intercept func(core.Send) bool) {
	for _, ef := range effects {
		switch ef := ef.(type) {
		case core.Send:
			if intercept == nil || !intercept(ef) {
				d.queueMessage(ef)
			}
		case core.Dispatch:
			d.dispatch(ctx, ef)
		case core.Attach:
			d.attach(ctx, ef)
		case core.Fence:
			d.fence(ctx, ef)
		case core.Stop:
			d.stopRun(ef)
		case core.Finish:
			d.finish(ef.Handle, newOutcome(ef))
		case core.Conflict:
			d.finish(ef.Handle, conflictOutcome)
		case core.Append:
			d.queueAppend(&appendJob{record: ef.Record})
		case core.ConfigApplied:
			d.log.Info().Uint64("version", ef.Rules.Version).Str("author", ef.Rules.Document.Author).Msg("configuration_in_force")
		case core.ConfigJudged:
			d.handleVerdict(ef.Verdict)
		case core.Takeover:
			d.log.Warn().Uint32("vm", ef.VM).Bool("clean", ef.Clean).Msg("takeover")
		case core.LeaseExpired:
			d.log.Warn().Uint32("vm", ef.Silence.VM).Bool("bypassed", ef.Silence.Bypassed).Bool("standing_in", ef.Silence.StandingIn).Msg("lease_expired")
		case core.DeclaredDead:
			d.log.Error().Msg("fenced")
			close(d.declaredDead)
		case core.Drained:
			close(d.drained)
		}
	}
}

func (d *Daemon) queueMessage(s core.Send) {
	l := d.links[s.To]
	if l == nil {
		return
	}
	select {
	case l.outgoing <- s.Message:
	default:
		d.count("peer.dropped")
	}
}
