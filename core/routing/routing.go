// Package routing holds a configuration as the operator published it and finds
// the route, the organisation and the service of a request. A Table is built
// once per version and never changes, so that readers need no lock.
package routing

import (
	"sort"
	"strings"
	"time"
)

// RequestKind says what may be repeated of a request kind.
type RequestKind int

// Kinds of requests by what may be repeated.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Stream answers are events as they come. They run at most once unless the
	// route says that they may be resumed.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says what the operator wants of requests to one host and path prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	// Timeout is the longest time that a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// is on time.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is on time.
	MaxPause time.Duration
	// Tier is the rank; 0 is the highest.
	Tier   int
	Shares []Share
	// MaxEndpoints bounds the endpoints that one request may be sent to.
	MaxEndpoints int
	// Public routes need no API key.
	Public bool
	// PromptAffinity routes carry prompts whose parts are worth keeping together.
	PromptAffinity bool
	// Resumable streams may go on at another endpoint after the last event.
	Resumable bool
}

// Retryable says whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int
	MemoryTokens int
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// Service is a set of endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what each endpoint accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Organisation is an owner of API keys.
type Organisation struct {
	Name string
	Keys []string
	// Tier ranks before the route's tier; 0 is the highest.
	Tier int
	// Rate in units a second and Burst in units; a Rate of 0 is unlimited.
	Rate, Burst float64
	// CountsTokens says whether units are tokens rather than requests.
	CountsTokens bool
	// PlainTokens is what a request without token counts counts as.
	PlainTokens float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version       uint64
	Routes        []*Route
	Services      []*Service
	Organisations []*Organisation
	Limits        Limits
}

// Table finds routes, services and organisations of one document.
type Table struct {
	Document      *Document
	hosts         map[string][]*Route
	services      map[string]*Service
	keys          map[string]*Organisation
	organisations map[string]*Organisation
}

// NewTable prepares a document for lookups.
func NewTable(d *Document) *Table {
	t := &Table{
		Document: d, hosts: make(map[string][]*Route), services: make(map[string]*Service),
		keys: make(map[string]*Organisation), organisations: make(map[string]*Organisation),
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, o := range d.Organisations {
		t.organisations[o.Name] = o
		for _, k := range o.Keys {
			t.keys[k] = o
		}
	}
	return t
}

// Route finds the route with the longest prefix of the path; nil if none matches.
// A port in host is not part of the name.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service finds a service by name; nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation finds the owner of a key; nil if no organisation has it.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// OrganisationNamed finds an organisation by name; nil if there is none.
func (t *Table) OrganisationNamed(name string) *Organisation { return t.organisations[name] }

// NeedsKeys says whether requests to routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.Document.Organisations) > 0 }

// PickService chooses the service of a request by the weights of the route's shares.
// The same spot, a uniform hash of the request, gives the same service.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
