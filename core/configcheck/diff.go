package configcheck

import (
	"fmt"
	"slices"

	"github.com/chivefield/chivefield/core/routing"
)

// Difference is what another version of a document changes at a place. An item that is new has no From, one
// that is gone has no To.
type Difference struct {
	Section Section
	// Name is that of the route, service or organisation; empty for a section without items.
	Name     string
	Field    Field
	From, To string
}

// Diff returns the differences of a document from an earlier one. Items are matched by their names, those
// of the same name in order. API keys are secret: of them only numbers are told.
func Diff(from, to *routing.Document) []Difference {
	var list []Difference
	list = append(list, diffFields(Whole, "", documentFields(from), documentFields(to))...)
	list = append(list, diffItems(Routes, namedRoutes(from), namedRoutes(to))...)
	list = append(list, diffItems(Services, namedServices(from), namedServices(to))...)
	list = append(list, diffItems(Organisations, namedOrganisations(from), namedOrganisations(to))...)
	list = append(list, diffOfKeys(from, to)...)
	return append(list, diffFields(Limits, "", limitFields(from.Limits), limitFields(to.Limits))...)
}

// value is a field's value as text.
type value struct {
	field Field
	text  string
}

// namedItem is an item of a section. The name is unique.
type namedItem struct {
	name   string
	fields []value
}

func diffItems(s Section, from, to []namedItem) []Difference {
	var list []Difference
	for _, f := range from {
		i := slices.IndexFunc(to, func(t namedItem) bool { return t.name == f.name })
		if i < 0 {
			list = append(list, Difference{Section: s, Name: f.name, From: "listed"})
			continue
		}
		list = append(list, diffFields(s, f.name, f.fields, to[i].fields)...)
	}
	for _, t := range to {
		if !slices.ContainsFunc(from, func(f namedItem) bool { return f.name == t.name }) {
			list = append(list, Difference{Section: s, Name: t.name, To: "listed"})
		}
	}
	return list
}

// diffFields compares the values of the same fields.
func diffFields(s Section, name string, from, to []value) []Difference {
	var list []Difference
	for i := range from {
		if from[i].text != to[i].text {
			list = append(list, Difference{s, name, from[i].field, from[i].text, to[i].text})
		}
	}
	return list
}

// uniqueNames returns a function that makes repeated names distinct.
func uniqueNames() func(string) string {
	seen := make(map[string]int)
	return func(name string) string {
		seen[name]++
		if seen[name] == 1 {
			return name
		}
		return fmt.Sprintf("%s (%d)", name, seen[name])
	}
}

func text(v any) string { return fmt.Sprint(v) }

func documentFields(d *routing.Document) []value { return []value{{Version, text(d.Version)}} }

// kindNames are the request kinds as written in reports, in order.
var kindNames = [...]string{"idempotent", "non-idempotent", "stream"}

func namedRoutes(d *routing.Document) []namedItem {
	unique := uniqueNames()
	var list []namedItem
	for _, r := range d.Routes {
		shares := ""
		for _, s := range r.Shares {
			shares += fmt.Sprintf("%s:%d ", s.Service, s.Weight)
		}
		list = append(list, namedItem{unique(routeName(r)), []value{
			{Host, r.Host}, {Prefix, r.Prefix}, {Kind, kindNames[r.Kind]}, {Timeout, text(r.Timeout)}, {Objective, text(r.Objective)},
			{MaxPause, text(r.MaxPause)}, {Tier, text(r.Tier)}, {Shares, shares}, {MaxEndpoints, text(r.MaxEndpoints)},
			{Public, text(r.Public)}, {PromptAffinity, text(r.PromptAffinity)}, {Resumable, text(r.Resumable)},
		}})
	}
	return list
}

func namedServices(d *routing.Document) []namedItem {
	unique := uniqueNames()
	var list []namedItem
	for _, s := range d.Services {
		engine := "none"
		if s.Engine != nil {
			engine = fmt.Sprintf("%d slots, %d tokens, %d tokens an event", s.Engine.Slots, s.Engine.MemoryTokens, s.Engine.TokensPerEvent)
		}
		list = append(list, namedItem{unique(s.Name), []value{
			{HealthPath, s.HealthPath}, {MaxConnections, text(s.MaxConnections)}, {Engine, engine},
		}})
	}
	return list
}

func namedOrganisations(d *routing.Document) []namedItem {
	unique := uniqueNames()
	var list []namedItem
	for _, o := range d.Organisations {
		units := "requests"
		if o.CountsTokens {
			units = fmt.Sprintf("tokens, %g without counts", o.PlainTokens)
		}
		list = append(list, namedItem{unique(o.Name), []value{
			{Tier, text(o.Tier)}, {Weight, text(o.Weight)}, {Rate, text(o.Rate)}, {Burst, text(o.Burst)}, {Units, units},
		}})
	}
	return list
}

// diffOfKeys returns how many keys organisations of the same name gain and lose.
func diffOfKeys(from, to *routing.Document) []Difference {
	var list []Difference
	for _, t := range to.Organisations {
		i := slices.IndexFunc(from.Organisations, func(f *routing.Organisation) bool { return f.Name == t.Name })
		if i < 0 {
			continue
		}
		lost, gained := missing(from.Organisations[i].Keys, t.Keys), missing(t.Keys, from.Organisations[i].Keys)
		if lost+gained > 0 {
			list = append(list, Difference{Organisations, t.Name, Keys, fmt.Sprintf("%d removed", lost), fmt.Sprintf("%d added", gained)})
		}
	}
	return list
}

// missing returns how many keys of a list are not in another one.
func missing(list, other []string) int {
	n := 0
	for _, k := range list {
		if !slices.Contains(other, k) {
			n++
		}
	}
	return n
}

func limitFields(l routing.Limits) []value {
	return []value{
		{MaxHeaderBytes, text(l.MaxHeaderBytes)}, {MaxBodyBytes, text(l.MaxBodyBytes)},
		{HeaderTimeout, text(l.HeaderTimeout)}, {IdleTimeout, text(l.IdleTimeout)},
	}
}
