package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/chivefield/chivefield/explain"
)

// Repeats are what all VMs together sent a service's endpoints once more, over the whole of the logs.
type Repeats struct {
	Service string `json:"service"`
	// Processes is how many processes of VMs had repeats asked of them; the rest is their sum.
	// The last seconds of one that was killed are missing.
	Processes int `json:"processes"`
	Requests  int `json:"requests"`
	Paid      int `json:"paid"`
	Refused   int `json:"refused"`
	Sent      int `json:"sent"`
	GivenBack int `json:"given_back"`
	Expired   int `json:"expired"`
}

// add adds what a process counted.
func (r *Repeats) add(p Repeats) {
	r.Processes++
	r.Requests += p.Requests
	r.Paid += p.Paid
	r.Refused += p.Refused
	r.Sent += p.Sent
	r.GivenBack += p.GivenBack
	r.Expired += p.Expired
}

// budgetOf names a VM's budget.
type budgetOf struct{ vm, service string }

// repeatSums are the counts of budgets, which grow as long as a process lives.
type repeatSums struct {
	ended  map[string]*Repeats
	latest map[budgetOf]Repeats
}

func newRepeatSums() *repeatSums {
	return &repeatSums{ended: make(map[string]*Repeats), latest: make(map[budgetOf]Repeats)}
}

// take takes in a line of a budget. Counts that are lower than before are those of the next process.
func (s *repeatSums) take(l *explain.Line) {
	key := budgetOf{l.VM, l.Get("service")}
	now := Repeats{
		Service: key.service, Requests: number(l, "requests"), Paid: number(l, "paid"), Refused: number(l, "refused"),
		Sent: number(l, "sent"), GivenBack: number(l, "given_back"), Expired: number(l, "expired"),
	}
	if before, ok := s.latest[key]; ok && now.Requests < before.Requests {
		s.end(before)
	}
	s.latest[key] = now
}

func (s *repeatSums) end(p Repeats) {
	sum := s.ended[p.Service]
	if sum == nil {
		sum = &Repeats{Service: p.Service}
		s.ended[p.Service] = sum
	}
	sum.add(p)
}

// sums returns the sums by service.
func (s *repeatSums) sums() []Repeats {
	for _, p := range s.latest {
		s.end(p)
	}
	clear(s.latest)
	var list []Repeats
	for _, service := range slices.Sorted(maps.Keys(s.ended)) {
		list = append(list, *s.ended[service])
	}
	return list
}

// number reads a whole number; 0 if the field is missing or none.
func number(l *explain.Line, field string) int {
	n, err := strconv.Atoi(l.Get(field))
	if err != nil {
		return 0
	}
	return n
}

func writeRepeats(w io.Writer, list []Repeats) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrepeats of\tprocesses\trequests\tpaid\trefused\tsent\tgiven back\texpired")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Service, r.Processes, r.Requests, r.Paid, r.Refused, r.Sent, r.GivenBack, r.Expired)
	}
}
