// Package dispatch queues the requests of one VM, assigns them to endpoints and refuses those
// that cannot be served in time. It performs no I/O: requests, responses, peers' loads and the
// current time are inputs, decisions are outputs. VMs learn of each other's loads from notes, the
// datagrams that they send each other ten times a second.
//
// Endpoints admit requests in order of arrival and know no priorities. Requests therefore wait
// in the scheduler and are bound late: an endpoint gets a request only when, as far as this VM
// knows, it has a free slot. Selecting an endpoint takes three steps, each in a file of its
// own: filter (filter.go), score (score.go) and pick (queue.go).
package dispatch
