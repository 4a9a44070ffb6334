// Package routing holds a configuration as published by the operator and looks up
// the route, the organisation and the service of a request. A Table is built
// once per version and is immutable, so that readers need no lock.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// RequestKind is the kind of a route's requests, which determines whether they may be retried.
type RequestKind int

// Request kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Stream requests are answered with a stream of events. They may run at most once unless
	// the route is resumable.
	Stream
)

// Share is the weight of a service among those of a route.
type Share struct {
	Service string
	Weight  int
}

// Route configures the requests to one host and path prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	// Timeout is the longest time that a caller is kept waiting; 0 for no timeout.
	Timeout time.Duration
	// Objective is the time within which a response, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is on time.
	MaxPause time.Duration
	// Tier is the priority; 0 is the highest.
	Tier   int
	Shares []Share
	// MaxEndpoints bounds the endpoints that one request may be sent to.
	MaxEndpoints int
	// Public routes need no API key.
	Public bool
	// PromptAffinity is set if requests carry prompts, and those that share parts are best sent to the same endpoint.
	PromptAffinity bool
	// Resumable streams may continue at another endpoint after the last event.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a set of endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that each endpoint accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Organisation is an owner of API keys.
type Organisation struct {
	Name string
	Keys []string
	// Tier takes precedence over the route's tier; 0 is the highest.
	Tier int
	// Weight is the weight of the organisation's share within a tier; 0 means 1.
	Weight float64
	// Rate is in units a second, Burst in units; a Rate of 0 is unlimited.
	Rate, Burst float64
	// CountsTokens is set if units are tokens rather than requests.
	CountsTokens bool
	// PlainTokens is the number of tokens charged for a request without token counts.
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

// Table indexes the routes, services and organisations of one document.
type Table struct {
	Document      *Document
	hosts         map[string][]*Route
	services      map[string]*Service
	keys          map[string]*Organisation
	organisations map[string]*Organisation
}

// NewTable builds the lookup table of a document.
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

// Route returns the route with the longest prefix that matches the path; nil if none does.
// A port in host is ignored.
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

// HasRoute reports whether there is a route of the given name.
func (t *Table) HasRoute(name string) bool {
	return slices.ContainsFunc(t.Document.Routes, func(r *Route) bool { return r.Name == name })
}

// Service returns a service by name; nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the owner of an API key; nil if the key is unknown.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// OrganisationNamed returns an organisation by name; nil if there is none.
func (t *Table) OrganisationNamed(name string) *Organisation { return t.organisations[name] }

// NeedsKeys reports whether requests to routes that are not public need an API key.
func (t *Table) NeedsKeys() bool { return len(t.Document.Organisations) > 0 }

// PickService selects the service of a request by the weights of the route's shares.
// The hash should be uniform over requests; the same hash selects the same service.
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
