package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/chivefield/chivefield/explain"
)

// Retries sums the retry budget counts of a service over all VMs and all of the logs.
type Retries struct {
	Service string `json:"service"`
	// Processes is the number of VM processes in which retries were requested. The other
	// fields are sums over these processes. The last seconds of a killed process are missing.
	Processes int `json:"processes"`
	Requests  int `json:"requests"`
	Acquired  int `json:"paid"`
	Refused   int `json:"refused"`
	Sent      int `json:"sent"`
	Refunded  int `json:"given_back"`
	Expired   int `json:"expired"`
}

// add adds the final counts of a process.
func (r *Retries) add(p Retries) {
	r.Processes++
	r.Requests += p.Requests
	r.Acquired += p.Acquired
	r.Refused += p.Refused
	r.Sent += p.Sent
	r.Refunded += p.Refunded
	r.Expired += p.Expired
}

// budgetKey identifies the retry budget of a service at a VM.
type budgetKey struct{ vm, service string }

// retryTotals sums the counts of retry budgets. The counts of a process only increase, so that
// the last line of a process holds its totals.
type retryTotals struct {
	finished map[string]*Retries
	latest   map[budgetKey]Retries
}

func newRetryTotals() *retryTotals {
	return &retryTotals{finished: make(map[string]*Retries), latest: make(map[budgetKey]Retries)}
}

// addLine records a line of a budget. If its count of requests is lower than before, the line is
// from the next process of the VM, and the previous counts are final.
func (s *retryTotals) addLine(l *explain.Line) {
	key := budgetKey{l.VM, l.Get("service")}
	now := Retries{
		Service: key.service, Requests: intField(l, "requests"), Acquired: intField(l, "paid"), Refused: intField(l, "refused"),
		Sent: intField(l, "sent"), Refunded: intField(l, "given_back"), Expired: intField(l, "expired"),
	}
	if before, ok := s.latest[key]; ok && now.Requests < before.Requests {
		s.addProcess(before)
	}
	s.latest[key] = now
}

// addProcess adds the final counts of a process to those of its service.
func (s *retryTotals) addProcess(p Retries) {
	sum := s.finished[p.Service]
	if sum == nil {
		sum = &Retries{Service: p.Service}
		s.finished[p.Service] = sum
	}
	sum.add(p)
}

// totals returns the totals of all processes, sorted by service.
func (s *retryTotals) totals() []Retries {
	for _, p := range s.latest {
		s.addProcess(p)
	}
	clear(s.latest)
	var list []Retries
	for _, service := range slices.Sorted(maps.Keys(s.finished)) {
		list = append(list, *s.finished[service])
	}
	return list
}

// intField returns the value of an integer field; 0 if it is missing or not an integer.
func intField(l *explain.Line, field string) int {
	n, err := strconv.Atoi(l.Get(field))
	if err != nil {
		return 0
	}
	return n
}

func writeRetries(w io.Writer, list []Retries) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrepeats of\tprocesses\trequests\tpaid\trefused\tsent\tgiven back\texpired")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Service, r.Processes, r.Requests, r.Acquired, r.Refused, r.Sent, r.Refunded, r.Expired)
	}
}
