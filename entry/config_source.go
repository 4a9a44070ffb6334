package entry

import (
	"context"

	"github.com/chivefield/chivefield/schema"
)

// Config implements schema.Relay.
func (s *relayServer) Config(_ context.Context, r *schema.ConfigRequest) (*schema.ConfigReply, error) {
	t, rec := s.d.table.Load(), s.d.configRecord.Load()
	if t == nil || rec == nil || t.Document.Version <= r.NewerThan {
		return &schema.ConfigReply{}, nil
	}
	s.d.count("configs_served")
	s.d.countMany("config_bytes_served", len(rec.Value))
	return &schema.ConfigReply{Record: &schema.StoreRecord{Key: rec.Key, Value: rec.Value}, Rollouts: s.d.rollouts.forNote()}, nil
}
