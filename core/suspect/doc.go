// Package suspect tells apart the requests that end the endpoints that run them, so that such
// a request is not sent on for ever. It is pure: what was seen and the time come in, and what
// may still be sent, what others are to be told and what is worth a log line come out.
//
// Load it answers: a request that ends each endpoint that begins to run it and that its
// caller sends again at any VM, some times a second. Without it engine after engine ends, with their
// successors, and each takes up to a dozen requests of others with it.
//
// A Sighting says that a request was cut off at an incarnation of an endpoint. Cuts alone
// say little: links break and answers are torn. So a sighting counts only once its
// incarnation has ended, and not if the incarnation answers anything later. All requests that
// an endpoint ran are cut when it ends, and most are innocent. They are told apart so:
//
//   - Sightings have generations. A copy that is sent when n generations are known and is cut
//     belongs to generation n+1. Copies that ran side by side are of the same one, so that
//     endpoints that end at the same moment, as those of a rack do, count once: no clock
//     decides what the same moment is. Convicted are requests with three generations that
//     have ended three incarnations.
//   - An answer, also one that reports a failure, clears what came before it: of a body that many
//     callers share some copies succeed.
//   - From the second generation on a request is on trial: one copy at a time, where few
//     others run, so that what ends with it next is not somebody else's fault (core/dispatch).
//
// VMs tell each other what they know. Merging takes the greater of two values everywhere, so
// order, repeats and loss of notes do not matter, and a VM that was cut off lowers nothing
// when it is back.
package suspect
