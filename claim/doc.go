// Package claim decides which VM may dispatch a request, so that a request is
// dispatched at most once while VMs die, freeze and are cut off. It is a state
// machine without I/O, clock or goroutine: messages, proofs and the time go in
// through the methods of Node; Take returns what to send and what was decided.
//
// # Holders and backups
//
// The VMs of a failure domain are split into cells. A key belongs to one cell
// of each domain, and there to the member that rendezvous hashing ranks first,
// its holder. A claim counts once the member ranked second, the backup, has a
// copy: the duplicated messages of Oriani and Garcia, "From Backup to Hot
// Standby", section III.A. docs/design/at-most-once.md has the measured cost.
//
// # Invariants
//
//   - A holder grants a key once. It grants with its backup's copy, or alone
//     after the backup was silent for a lease. Alone, it grants only declared
//     first attempts.
//   - A backup takes over only on proof that the holder's process has ended:
//     its kernel closed the connection, a newer incarnation answers at its
//     address, or the platform's list says it is gone.
//   - The death is clean if the backup had everything and the proof came within
//     the lease that the holder is known to have had. After any other death,
//     repeats of keys without a record are doubtful until no request of that
//     incarnation can come back.
//   - A new incarnation is a member only after every member handed over what it
//     holds of the new one's keys, or is proven dead.
//   - A declared first attempt claims in its own failure domain. Any other claims
//     in the key's home domain and seals the key in all others.
package claim
