package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/fairshare"
	"github.com/chivefield/chivefield/schema"
)

// organisationUses returns what organisations use by this VM's placements, for a note.
func (s *sharedScheduler) organisationUses() []*schema.OrganisationUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*schema.OrganisationUse
	for _, u := range s.sched.OrganisationUses(s.now()) {
		list = append(list, &schema.OrganisationUse{Service: u.ServiceHash, Tier: int32(u.Tier), Organisation: u.Organisation, Use: u.Use, Waiting: u.Waiting})
	}
	return list
}

// recordNoteSent records that a note with loads is sent to the named VMs.
func (s *sharedScheduler) recordNoteSent(vms []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RecordNoteSent(s.now(), vms)
}

// applyOrganisationUses applies what the sender of a note with loads reports.
func (s *sharedScheduler) applyOrganisationUses(n *schema.PeerNote) {
	uses := make([]dispatch.OrganisationUse, 0, len(n.OrganisationUses))
	for _, u := range n.OrganisationUses {
		uses = append(uses, dispatch.OrganisationUse{ServiceHash: u.Service, Tier: int(u.Tier), Entry: fairshare.Entry{Organisation: u.Organisation, Use: u.Use, Waiting: u.Waiting}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.ApplyOrganisationUses(s.now(), n.Vm, uses)
}

// shareStates returns the services and tiers for which organisations compete.
func (s *sharedScheduler) shareStates() []dispatch.ShareState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.ShareStates(s.now())
}

// shareLogInterval is the least time between two log lines about the shares of one service and tier.
const shareLogInterval = 5 * time.Second

// shareKey identifies what organisations compete for.
type shareKey struct {
	service string
	tier    int
}

// shareReport makes metrics and log lines of how organisations compete. It is used by the goroutine
// that sends notes.
type shareReport struct {
	d *Daemon
	// counted holds the counts that the metrics have so far, logged when a line was last written.
	counted map[shareKey]dispatch.ShareStats
	logged  map[shareKey]time.Duration
}

func newShareReport(d *Daemon) *shareReport {
	return &shareReport{d: d, counted: make(map[shareKey]dispatch.ShareStats), logged: make(map[shareKey]time.Duration)}
}

// step updates the metrics and writes the log lines that are due.
func (r *shareReport) step() {
	now := r.d.now()
	states := r.d.sched.shareStates()
	r.resetGauges(states)
	for _, st := range states {
		k := shareKey{st.Service, st.Tier}
		r.count(k, st.Stats)
		r.setGauges(k, st)
		if last, ok := r.logged[k]; ok && now-last < shareLogInterval {
			continue
		}
		r.logged[k] = now
		r.d.log.Info().Str("service", st.Service).Int("tier", st.Tier).Int("organisations", st.Organisations).
			Str("largest", r.organisationName(st.Top)).Float64("largest_part", st.TopPart).Float64("level", st.Level).
			Int("queued_within", st.QueuedWithin).Int("queued_beyond", st.QueuedBeyond).Int("reporting_vms", st.Reporters).
			Int("placed_within", st.Stats.PlacedWithin).Int("placed_beyond", st.Stats.PlacedBeyond).
			Int("refused_within", st.Stats.RefusedWithin).Int("refused_beyond", st.Stats.RefusedBeyond).Msg("organisation_shares")
	}
}

// resetGauges resets the gauges of services without competition, which would show the last value for ever.
func (r *shareReport) resetGauges(states []dispatch.ShareState) {
	for k := range r.logged {
		if !slices.ContainsFunc(states, func(st dispatch.ShareState) bool { return k == shareKey{st.Service, st.Tier} }) {
			r.setGauges(k, dispatch.ShareState{})
			delete(r.logged, k)
		}
	}
}

func (r *shareReport) count(k shareKey, now dispatch.ShareStats) {
	last := r.counted[k]
	r.counted[k] = now
	r.d.countMany("organisation_shares.placed_within", now.PlacedWithin-last.PlacedWithin)
	r.d.countMany("organisation_shares.placed_beyond", now.PlacedBeyond-last.PlacedBeyond)
	r.d.countMany("organisation_shares.refused_within", now.RefusedWithin-last.RefusedWithin)
	r.d.countMany("organisation_shares.refused_beyond", now.RefusedBeyond-last.RefusedBeyond)
}

// setGauges sets the part of the largest organisation in the use, in percent.
func (r *shareReport) setGauges(k shareKey, st dispatch.ShareState) {
	name := "organisation_shares.largest_percent." + k.service + "." + strconv.Itoa(k.tier)
	metrics.GetOrRegisterGauge(name, r.d.metrics).Update(int64(100 * st.TopPart))
}

// organisationName returns the name of the organisation with a hash; the hash itself if the configuration in
// force has none.
func (r *shareReport) organisationName(hash uint64) string {
	if hash == 0 {
		return ""
	}
	if t := r.d.table.Load(); t != nil {
		for _, o := range t.Document.Organisations {
			if xxhash.Sum64String(o.Name) == hash {
				return o.Name
			}
		}
	}
	return strconv.FormatUint(hash, 10)
}
