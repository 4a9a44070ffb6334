// Package claim decides which VM may dispatch a request, so that a request is
// dispatched at most once while VMs crash, freeze and are partitioned. It is a
// state machine without I/O, clock or goroutines: messages, proofs of death and
// the time are passed to the methods of Node; Take returns the messages to send
// and the decisions.
//
// # Holders and backups
//
// The VMs of a failure domain are split into cells. A key belongs to one cell
// of each domain. Within the cell, the member that rendezvous hashing ranks
// first is the key's holder. A claim is committed once the member ranked
// second, the backup, has a copy: the duplicated messages of Oriani and Garcia,
// "From Backup to Hot Standby", section III.A. docs/design/at-most-once.md has
// the measured cost.
//
// # Invariants
//
//   - A holder grants a key once. It grants either with its backup's copy, or
//     alone after the backup was silent for a lease. Alone, it grants only
//     declared first attempts.
//   - A backup takes over only on proof that the holder's process has ended: its
//     kernel closed the connection, a newer incarnation responds at its address,
//     or the platform's list no longer contains it.
//   - A death is clean if the backup had a copy of everything and the proof
//     arrived within the lease that the holder is known to have had. After any
//     other death, the outcome of retries of keys without a record is unknown
//     until no request from the time of that incarnation can be retried any more.
//   - A new incarnation becomes a member only after every member has handed over
//     the records of the keys that move to it, or is proven dead.
//   - A declared first attempt claims in the failure domain of its own VM. Any
//     other attempt claims in the key's home domain and seals the key in all
//     others.
package claim
