package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/catchup"
	"github.com/chivefield/chivefield/schema"
)

// configSource serves this VM's configuration to other VMs.
type configSource struct {
	d *Daemon

	mu      sync.Mutex
	history configHistory
	source  catchup.Source
	// waiting holds the channels on which queued requests wait for a decision, by asker.
	waiting map[string]chan catchup.Decision
}

func newConfigSource(d *Daemon) *configSource {
	return &configSource{d: d, waiting: make(map[string]chan catchup.Decision)}
}

// setCurrent makes a record the one that is served.
func (s *configSource) setCurrent(r *Record, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.add(r, version)
	s.deliver(s.source.Advance(version))
}

// current returns the record that is served and its checksum; nil if there is none.
func (s *configSource) current() (*Record, checksum) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.record, s.history.sum
}

// keepUpdate keeps an update to the current record that another VM sent, so that it can be passed on
// as it is.
func (s *configSource) keepUpdate(base []byte, reply *schema.ConfigReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(reply.Checksum, s.history.sum[:]) && len(reply.Packed) > 0 {
		s.history.packed[newChecksum(base)] = reply.Packed
	}
}

// deliver passes decisions to the requests that wait for them.
func (s *configSource) deliver(list []catchup.Decision) {
	for _, d := range list {
		if c := s.waiting[d.Asker]; c != nil {
			delete(s.waiting, d.Asker)
			c <- d
		}
	}
}

// ask returns the decision about a request, which may wait for it.
func (s *configSource) ask(ctx context.Context, r *schema.ConfigRequest) catchup.Decision {
	decision := s.enqueue(r)
	t := time.NewTimer(catchup.MaxHold)
	defer t.Stop()
	select {
	case d := <-decision:
		return d
	case <-t.C:
	case <-ctx.Done():
	}
	return s.leave(r.Asker, decision)
}

// enqueue asks for a decision and returns the channel on which it arrives.
func (s *configSource) enqueue(r *schema.ConfigRequest) <-chan catchup.Decision {
	_, expects := s.d.configFetcher.behindSince()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, asked := s.waiting[r.Asker]; asked {
		// An earlier request of the same VM, which has given it up.
		if d, queued := s.source.Leave(r.Asker); queued {
			s.deliver([]catchup.Decision{d})
		}
	}
	c := make(chan catchup.Decision, 1)
	d := s.source.Ask(r.Asker, r.NewerThan, expects)
	if d.Verdict == catchup.Queue {
		s.waiting[r.Asker] = c
	} else {
		c <- d
	}
	return c
}

// leave ends the waiting of a request. A decision that was made in the meantime holds.
func (s *configSource) leave(asker string, decision <-chan catchup.Decision) catchup.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-decision:
		return d
	default:
	}
	delete(s.waiting, asker)
	d, _ := s.source.Leave(asker)
	d.Verdict = catchup.Refuse
	return d
}

// update returns the reply that brings a VM from its base to the current record.
func (s *configSource) update(r *schema.ConfigRequest) (*schema.ConfigReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	packed, err := s.history.update(newChecksum(r.Base))
	if err != nil {
		return nil, err
	}
	sum := s.history.sum // The reply is sent after the lock is released.
	return &schema.ConfigReply{Version: s.history.version, Checksum: sum[:], Packed: packed}, nil
}

// done ends a transfer.
func (s *configSource) done(version uint64, asker string, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.source.Done(version, asker, received))
}

// Config implements schema.Relay.
func (s *relayServer) Config(ctx context.Context, r *schema.ConfigRequest) (*schema.ConfigReply, error) {
	if r.Asker == "" {
		return s.wholeConfig(r), nil
	}
	source := s.d.configSource
	if d := source.ask(ctx, r); d.Verdict == catchup.Refuse {
		s.d.count("configs_refused")
		return &schema.ConfigReply{Version: s.d.configVersion(), Holders: d.Referrals}, nil
	}
	reply, err := source.update(r)
	if err != nil {
		s.d.log.Error().Err(err).Msg("config_unsendable")
		source.done(0, r.Asker, false)
		return nil, err
	}
	reply.Rollouts = s.d.rollouts.forNote()
	s.d.count("configs_served")
	s.d.countMany("config_bytes_served", len(reply.Packed))
	// The response is written after this method returns.
	time.AfterFunc(s.d.transferTime(len(reply.Packed)), func() { source.done(reply.Version, r.Asker, true) })
	return reply, nil
}

// wholeConfig serves VMs that take only records.
func (s *relayServer) wholeConfig(r *schema.ConfigRequest) *schema.ConfigReply {
	rec, _ := s.d.configSource.current()
	if rec == nil || s.d.configVersion() <= r.NewerThan {
		return &schema.ConfigReply{}
	}
	s.d.count("configs_served")
	s.d.countMany("config_bytes_served", len(rec.Value))
	return &schema.ConfigReply{Record: &schema.StoreRecord{Key: rec.Key, Value: rec.Value}, Rollouts: s.d.rollouts.forNote()}
}
