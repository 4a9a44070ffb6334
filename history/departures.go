package history

import (
	"slices"
	"time"
)

// checkDeparture checks that a request did not reach an endpoint long after the store had recorded that
// it is leaving.
func (c *deploymentCheck) checkDeparture(req *CallerRequest, r *Run) {
	left, ok := c.LeftAt[r.Endpoint]
	if !ok || r.From <= left+c.DrainWithin || !c.boundByDeparture(req.VM, r.Endpoint, left, r.From) {
		return
	}
	c.addViolation(Drained, r.ID, "reached %s from %s %v after the store recorded that it is leaving", r.Endpoint, req.VM, r.From-left)
}

// boundByDeparture reports whether a VM must send nothing any more to an endpoint that has left. The store
// recorded that while it was undisturbed, and the VM, its paths and the endpoint's have been undisturbed
// for SettleTime. So has the store, unless the VM has had the time to learn of the departure before.
func (c *deploymentCheck) boundByDeparture(vm, endpoint string, left, at time.Duration) bool {
	recorded := Span{left - c.SettleTime, left}
	learned := Span{left - c.SettleTime, left + c.DrainWithin}
	settled := Span{at - c.SettleTime, at}
	if c.storeDisturbed(recorded) || c.disturbed(vm, settled) || c.disturbed(endpoint, settled) || c.stalled(settled) {
		return false
	}
	return !c.storeDisturbed(settled) || !c.disturbed(vm, learned) && !c.disturbed("", learned)
}

// disturbed reports whether a VM or an endpoint was disturbed at some time in a span.
func (c *deploymentCheck) disturbed(name string, s Span) bool {
	return slices.ContainsFunc(c.Disturbed[name], s.overlaps)
}

// stalled reports whether the whole machine stood still at some time in a span.
func (c *deploymentCheck) stalled(s Span) bool { return slices.ContainsFunc(c.Frozen[""], s.overlaps) }

// storeDisturbed reports whether the store was disturbed at some time in a span.
func (c *deploymentCheck) storeDisturbed(s Span) bool {
	return slices.ContainsFunc(c.Disturbed[""], func(d Span) bool {
		return d.overlaps(s) && !slices.Contains(c.Frozen[""], d)
	})
}

// LatestAfterDeparture returns how long after an endpoint's departure the last request reached it from a VM
// that had to know; 0 if none did.
func (d *Deployment) LatestAfterDeparture() time.Duration {
	byID := make(map[string]*CallerRequest, len(d.Requests))
	for i := range d.Requests {
		byID[d.Requests[i].ID] = &d.Requests[i]
	}
	c := &deploymentCheck{Deployment: d}
	var latest time.Duration
	for i := range d.Arrivals {
		r := &d.Arrivals[i]
		left, ok := d.LeftAt[r.Endpoint]
		req := byID[r.ID]
		if ok && req != nil && c.boundByDeparture(req.VM, r.Endpoint, left, r.From) {
			latest = max(latest, r.From-left)
		}
	}
	return latest
}
