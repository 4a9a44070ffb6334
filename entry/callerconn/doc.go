// Package callerconn keeps the connections of callers to a VM: it bounds their number, closes those that
// stay idle, and knows which of them this VM has closed.
//
// A load balancer may send most new connections of a failure domain to one VM for some seconds. Callers keep
// their connections open for later requests, so thousands are idle there after a while. Without a bound they
// take the descriptors that the VM needs for its connections to endpoints, and its memory; requests that it has
// read then fail, and new callers are not accepted at all.
package callerconn
