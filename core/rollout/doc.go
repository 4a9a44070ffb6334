// Package rollout shifts a service's requests to endpoints of another version, while a bad
// version receives only a bounded share of them. It is pure: orders, evidence and the time are
// inputs, and a phase is the output.
//
// Two concerns are separate. Exposure is bounded at each VM alone (Gate): a request may go to the
// new version only if this process has sent enough other requests to the service before. The sum
// over any VMs, restarted or partitioned, therefore stays within the bound, whatever state the
// VMs have. The verdict follows from evidence (Counts, Aggregator) and from a sequential test
// (Evaluate) that compares the versions side by side. Each VM counts its own evidence; counts
// only grow, so they merge by the maximum in any order.
//
// The phases form a lattice: Canary, Shifting, RolledBack, Completed. Merging takes the greater.
// Completed is reached only when the store has accepted it, by a write that fails if another
// verdict is stored. After that the endpoints of the old version are gone, so Completed must
// override a VM's own evidence against the version.
package rollout
