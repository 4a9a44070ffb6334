// Package rollout moves a service's requests to endpoints of another version, without a
// bad version harming more than a bounded share of them. It is pure: orders, evidence and
// the time come in, and a phase comes out.
//
// Two questions are kept apart. What may be exposed is bounded at each VM by itself (Gate):
// a request may go to the new version only if enough others left this process for the service
// before, so the sum over any VMs, restarted or cut off, stays within the share whatever they
// believe. What is believed follows from evidence (Counts, Ledger) that all VMs count for
// themselves and that only grows, so it merges by the greater in any order, and from a
// sequential test (Test) that compares the versions side by side.
//
// The phases form a lattice: Trying, Moving, RolledBack, Completed. Merging takes the greater.
// Completed is known only once the store has taken it, by a write that fails if another
// verdict is there; after it the endpoints of the old version are gone, so it must outlast a
// VM's own doubt.
package rollout
