// Package callerconn keeps the connections of callers to a VM: it bounds their number and the memory that the heads of
// their requests take, closes those that stay idle or do not give a whole request, and knows which of them this VM has
// closed.
//
// A load balancer may send most new connections of a failure domain to one VM for some seconds. Callers keep
// their connections open for later requests, so thousands are idle there after a while. Without a bound they
// take the descriptors that the VM needs for its connections to endpoints, and its memory; requests that it has
// read then fail, and new callers are not accepted at all.
//
// Some callers send heads of very many short lines, heads without end, or nothing. net/http keeps each line in a form
// that takes many times its bytes, from the moment at which it comes. So a Conn receives a head itself, in its bytes,
// and gives it to net/http once it is whole and there is memory to parse it; the handler then replaces it by what it
// needs (ReplaceHead). A Pool closes connections whose requests do not come where others need their places or memory.
package callerconn
