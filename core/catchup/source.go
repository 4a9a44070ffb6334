package catchup

import "slices"

const (
	// maxServing is how many VMs a source serves at the same time. If two shared its link, the first
	// copy would be complete, and be passed on, only when both are.
	maxServing = 1
	// maxQueued is how many VMs wait for a source; more than that are refused.
	maxQueued = 64
	// maxReferrals is how many VMs a refusal names.
	maxReferrals = 3
	// maxServed bounds the served VMs that a source remembers.
	maxServed = 16
)

// Verdict is what a source decides about a request.
type Verdict int

// Verdicts.
const (
	// Serve means that the VM is served now. Source.Done must be called when the transfer is over.
	Serve Verdict = iota
	// Queue means that the VM waits for a later decision, or until Source.Leave is called.
	Queue
	// Refuse means that the VM should ask another one.
	Refuse
)

// Decision is a later decision about a queued request.
type Decision struct {
	Asker   string
	Verdict Verdict
	// Referrals name VMs to ask instead, if the verdict is Refuse.
	Referrals []string
}

// Source decides which VMs a holder of the newest version serves, and when. The zero value is ready
// to use.
type Source struct {
	version uint64
	serving int
	queued  []string
	// served holds the VMs to which the version was sent, the latest last.
	served []string
}

// Ask decides about a request of a VM that has the version have. expects means that this VM will
// have a newer version than its own soon.
func (s *Source) Ask(asker string, have uint64, expects bool) Decision {
	available := s.version > have
	switch {
	case available && s.serving < maxServing:
		s.serving++
		return Decision{Asker: asker, Verdict: Serve}
	case (available || expects) && len(s.queued) < maxQueued:
		s.queued = append(s.queued, asker)
		return Decision{Asker: asker, Verdict: Queue}
	}
	return s.refuse(asker)
}

func (s *Source) refuse(asker string) Decision {
	d := Decision{Asker: asker, Verdict: Refuse}
	for _, a := range slices.Backward(s.served) {
		if a != asker && len(d.Referrals) < maxReferrals {
			d.Referrals = append(d.Referrals, a)
		}
	}
	return d
}

// Leave takes back a queued request that has waited too long, and refuses it. It returns false if it
// is not queued.
func (s *Source) Leave(asker string) (Decision, bool) {
	i := slices.Index(s.queued, asker)
	if i < 0 {
		return Decision{}, false
	}
	s.queued = slices.Delete(s.queued, i, i+1)
	return s.refuse(asker), true
}

// Advance records the newest version that this VM has and returns decisions about queued requests.
func (s *Source) Advance(version uint64) []Decision {
	if version > s.version {
		s.version, s.served = version, nil
	}
	return s.serveQueued(nil)
}

// Done ends a transfer of a version; received reports whether the VM has it now. Then the second half
// of the queue is sent there: the number of VMs that serve doubles with each copy.
func (s *Source) Done(version uint64, asker string, received bool) []Decision {
	s.serving--
	var list []Decision
	if received && version == s.version {
		s.remember(asker)
		keep := (len(s.queued) + 1) / 2
		for _, q := range s.queued[keep:] {
			list = append(list, Decision{Asker: q, Verdict: Refuse, Referrals: []string{asker}})
		}
		s.queued = s.queued[:keep]
	}
	return s.serveQueued(list)
}

// serveQueued appends decisions to serve queued requests, in the order of their arrival.
func (s *Source) serveQueued(list []Decision) []Decision {
	for s.serving < maxServing && len(s.queued) > 0 {
		list = append(list, Decision{Asker: s.queued[0], Verdict: Serve})
		s.queued = s.queued[1:]
		s.serving++
	}
	return list
}

// remember adds a VM to those that were served.
func (s *Source) remember(asker string) {
	if asker == "" || slices.Contains(s.served, asker) {
		return
	}
	if len(s.served) == maxServed {
		s.served = slices.Delete(s.served, 0, 1)
	}
	s.served = append(s.served, asker)
}
