// Package configcheck checks a configuration document before it is published, and compares two versions.
// It knows nothing of how documents are written: findings name places of a routing.Document.
package configcheck

import (
	"github.com/chivefield/chivefield/core/routing"
)

// Severity is how serious a finding is.
type Severity int

// Severities.
const (
	// Warning: the document works, but probably not as intended.
	Warning Severity = iota
	// Error: some requests cannot be served as the document demands.
	Error
)

// String returns the severity's name in reports.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Section is a part of a document.
type Section int

// Sections.
const (
	Whole Section = iota
	Routes
	Services
	Organisations
	Limits
)

// Field is a field of a section's items.
type Field int

// Fields.
const (
	// Item stands for the item itself.
	Item Field = iota
	Name
	Host
	Prefix
	Kind
	Timeout
	Objective
	MaxPause
	Tier
	Shares
	MaxEndpoints
	Public
	PromptAffinity
	Resumable
	HealthPath
	MaxConnections
	Engine
	Keys
	Weight
	Rate
	Burst
	Units
	MaxHeaderBytes
	MaxBodyBytes
	HeaderTimeout
	IdleTimeout
	Version
)

// Place is where a finding is. Index counts the items of a section; it is 0 for a section without items.
type Place struct {
	Section Section
	Index   int
	Field   Field
}

// Problem is what is wrong at a place, a struct for each kind.
type Problem interface{ error }

// Finding is a problem with its place.
type Finding struct {
	Severity Severity
	Place    Place
	Problem  Problem
}

// checker collects the findings of one document.
type checker struct {
	doc      *routing.Document
	findings []Finding
}

// Check returns the problems of a document, in its order.
func Check(doc *routing.Document) []Finding {
	c := &checker{doc: doc}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkLimits()
	return c.findings
}

func (c *checker) add(s Severity, p Place, problem Problem) {
	c.findings = append(c.findings, Finding{s, p, problem})
}
