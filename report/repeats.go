package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/chivefield/chivefield/explain"
)

// Retries are what all VMs together sent a service's endpoints once more, over the whole of the logs.
type Retries struct {
	Service string `json:"service"`
	// Processes is how many processes of VMs had repeats asked of them; the rest is their sum.
	// The last seconds of one that was killed are missing.
	Processes int `json:"processes"`
	Requests  int `json:"requests"`
	Acquired  int `json:"paid"`
	Refused   int `json:"refused"`
	Sent      int `json:"sent"`
	Refunded  int `json:"given_back"`
	Expired   int `json:"expired"`
}

// add adds what a process counted.
func (r *Retries) add(p Retries) {
	r.Processes++
	r.Requests += p.Requests
	r.Acquired += p.Acquired
	r.Refused += p.Refused
	r.Sent += p.Sent
	r.Refunded += p.Refunded
	r.Expired += p.Expired
}

// budgetKey names a VM's budget.
type budgetKey struct{ vm, service string }

// retryTotals are the counts of budgets, which grow as long as a process lives.
type retryTotals struct {
	finished map[string]*Retries
	latest   map[budgetKey]Retries
}

func newRetryTotals() *retryTotals {
	return &retryTotals{finished: make(map[string]*Retries), latest: make(map[budgetKey]Retries)}
}

// addLine takes in a line of a budget. Counts that are lower than before are those of the next process.
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

func (s *retryTotals) addProcess(p Retries) {
	sum := s.finished[p.Service]
	if sum == nil {
		sum = &Retries{Service: p.Service}
		s.finished[p.Service] = sum
	}
	sum.add(p)
}

// totals returns the totals by service.
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

// intField reads a whole intField; 0 if the field is missing or none.
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
