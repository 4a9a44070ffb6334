// Package suspect detects poison requests, those that crash the endpoints that run them, and poison
// parts of prompts, which do so in requests of which no two are alike, so that they are not sent
// without end. The package performs no I/O: observations and the
// current time are passed in; it returns which requests may be sent, which records to gossip
// and which changes to log.
//
// It guards against a request that crashes each endpoint that begins to run it and that its
// caller sends again through any VM, several times a second. Without it engine after engine
// crashes, as do the engines that replace them, and each crash takes up to a dozen other
// requests with it.
//
// A Sighting records that a request was cut off at an incarnation of an endpoint. A cut alone is
// weak evidence, since links break and responses are truncated. A sighting therefore counts only
// once its incarnation has terminated, and not if the incarnation responds to anything later. All
// requests that an endpoint runs are cut off when it terminates, and most of them did not cause
// it. The cause is identified as follows:
//
//   - A process that has just started knows neither which incarnations are still alive nor which
//     requests got responses before it started. A cut at an incarnation that it has never seen
//     alive is unverified, and counts only if the incarnation terminates afterwards.
//   - Sightings have generations. A copy that is sent when n generations are known and is cut off
//     belongs to generation n+1. Copies that run concurrently have the same generation, so
//     endpoints that terminate at the same moment, as those of one rack do, count once. No clock
//     decides what counts as the same moment. A request is convicted when it has three generations
//     that terminated three incarnations.
//   - A response, even one that reports a failure, clears all earlier sightings: when many callers
//     send the same body, some of the copies succeed.
//   - From the second generation on a request is quarantined: it runs one copy at a time, where
//     few other requests run, so that the next termination is not caused by another request
//     (core/dispatch).
//
// A part of prompts is tracked like a request, with a digest of its own, and differs in that sound requests
// share it:
//
//   - It needs two more terminated incarnations than a request at each level, so five to be convicted.
//   - Only a successful response clears it, at any VM that gets one.
//   - Only a termination after which its service serves requests without it speaks against it: as many
//     got responses as were cut off, or some got responses and those that were cut off were so where
//     requests with the part were, at any VM. When all endpoints terminate again and again, some do so
//     without the part. If a part is in all requests of a service, then either it got a response lately or
//     the service did not respond; so no crash of all endpoints convicts it.
//
// VMs gossip what they know, in the notes that they send each other ten times a second. Merging
// takes the maximum of each value, so the order, duplication and loss of notes do not matter, and a
// VM that rejoins after a partition lowers no value.
package suspect
