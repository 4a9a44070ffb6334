// Package dispatch decides which endpoint gets which request of one VM, and
// when a request is refused. It is pure: requests, answers, peers' loads and the
// time come in, decisions come out.
//
// Endpoints admit in order of arrival and know no priorities, so requests wait
// here and are bound late: an endpoint gets a request only when it has a free
// slot as far as this VM knows. Choosing runs in three steps, each in a file of
// its own: filter (filter.go), score (score.go) and pick (queue.go).
package dispatch
