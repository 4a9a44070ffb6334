// Package poison keeps a VM from sending requests that terminate the endpoints which run them: poison
// requests, and requests with a poison part in their prompts. A Guard collects what this VM sees and what
// other VMs tell it in a tracker (core/suspect), which decides. It detects:
//
//   - A cut: the connection of a request broke, or was given up for silence, while the registry
//     listed the incarnation and it had not announced that it leaves. Responses that were
//     received but cannot be passed on are no cuts.
//   - An end, the unexpected termination of an incarnation: after a cut a new connection is
//     opened at once, and is refused while other endpoints of the failure domain accept
//     connections; or another incarnation responds there; or the registry drops the entry,
//     three to four seconds later, or lists another start under the id. Until one of these is
//     seen the cut counts only towards quarantining the request.
//   - A response of the incarnation to anything sent after the cut proves that it is alive.
//
// A process that has just started knows of no endpoint that it is alive: the registry lists those that
// have ended for seconds, and relays accept connections for them. A request that is cut off at one
// of them must not be blamed for its end. Signs of life are responses, and heartbeats that an
// endpoint has written to the registry since the process started. Only the VM that reads the
// registry for its failure domain sees all of those, so a process asks the others about the
// incarnations that it doubts.
//
// The package sends nothing itself but probes: notes to other VMs and records in the store are written by
// its caller.
package poison
