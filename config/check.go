// Package config validates configuration documents and determines the current
// one. The platform's log orders the changes of concurrent operators. Every VM
// judges each record with the same pure functions and so reaches the same
// verdict.
package config

import (
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/chivefield/chivefield/schema"
)

// SchemaVersion is the newest document schema that this version supports.
const SchemaVersion = 1

// Limits of a document.
const (
	maxTiers    = 16
	minTTL      = time.Minute
	maxTTL      = 24 * time.Hour
	sha256Bytes = 32
)

// Any matches every organisation or kind in an assignment.
const Any = "*"

// Fault describes an error in a document or settings file and its location.
type Fault struct {
	// Path names the field, such as "endpoints[2].slots".
	Path    string
	Problem string
}

// String returns path and problem on one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem }

// FaultsError reports all faults of a document.
type FaultsError struct{ Faults []Fault }

// Error lists the faults, one per line.
func (e *FaultsError) Error() string {
	s := fmt.Sprintf("%d faults", len(e.Faults))
	for _, f := range e.Faults {
		s += "\n  " + f.String()
	}
	return s
}

type checker struct {
	faults []Fault
	kinds  map[string]*schema.Kind
	orgs   map[string]bool
	tiers  map[uint32]bool
}

func (c *checker) addFault(problem, path string, args ...any) {
	c.faults = append(c.faults, Fault{Path: fmt.Sprintf(path, args...), Problem: problem})
}

// Check returns all faults of a document. A document without faults can be
// accepted.
func Check(d *schema.Document) []Fault {
	c := &checker{kinds: map[string]*schema.Kind{}, orgs: map[string]bool{}, tiers: map[uint32]bool{}}
	if d.SchemaVersion == 0 || d.SchemaVersion > SchemaVersion {
		c.addFault(fmt.Sprintf("must be 1 to %d", SchemaVersion), "schema_version")
	}
	if d.Author == "" {
		c.addFault("is missing", "author")
	}
	c.checkTiers(d.Tiers)
	c.checkOrganisations(d.Organisations)
	c.checkKinds(d.Kinds)
	c.checkAssignments(d)
	c.checkEndpoints(d.Endpoints)
	ttl := c.checkDuration(d.RecordTtl, "record_ttl")
	if ttl != 0 && (ttl < minTTL || ttl > maxTTL) {
		c.addFault("must be between "+minTTL.String()+" and "+maxTTL.String(), "record_ttl")
	}
	return c.faults
}

func (c *checker) checkDuration(s, path string, args ...any) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		c.addFault(`must be a duration with a unit, such as "250ms"`, path, args...)
		return 0
	}
	if d <= 0 {
		c.addFault("must be positive", path, args...)
		return 0
	}
	return d
}

func (c *checker) checkTiers(tiers []*schema.Tier) {
	if len(tiers) == 0 || len(tiers) > maxTiers {
		c.addFault(fmt.Sprintf("must be 1 to %d", maxTiers), "tiers")
	}
	for i, t := range tiers {
		if int(t.Number) != i {
			c.addFault("tiers must be numbered from 0 without gaps", "tiers[%d].number", i)
		}
		c.tiers[t.Number] = true
		if t.FirstTokenTarget != "" {
			c.checkDuration(t.FirstTokenTarget, "tiers[%d].first_token_target", i)
		}
		if t.TokenGapTarget != "" {
			c.checkDuration(t.TokenGapTarget, "tiers[%d].token_gap_target", i)
		}
	}
}

func (c *checker) checkOrganisations(orgs []*schema.Organisation) {
	if len(orgs) == 0 {
		c.addFault("is missing", "organisations")
	}
	keys := make(map[string]bool, len(orgs))
	for i, o := range orgs {
		if o.Name == "" || o.Name == Any || c.orgs[o.Name] {
			c.addFault("must be a unique name", "organisations[%d].name", i)
		}
		c.orgs[o.Name] = true
		raw, err := hex.DecodeString(o.KeySha256)
		if err != nil || len(raw) != sha256Bytes || keys[o.KeySha256] {
			c.addFault("must be a unique SHA-256 in lower-case hex", "organisations[%d].key_sha256", i)
		}
		keys[o.KeySha256] = true
	}
}

func (c *checker) checkKinds(kinds []*schema.Kind) {
	if len(kinds) == 0 {
		c.addFault("is missing", "kinds")
	}
	for i, k := range kinds {
		if k.Name == "" || k.Name == Any || c.kinds[k.Name] != nil {
			c.addFault("must be a unique name", "kinds[%d].name", i)
		}
		c.kinds[k.Name] = k
		c.checkDuration(k.Deadline, "kinds[%d].deadline", i)
		if (k.Model == "") == (k.Path == "") {
			c.addFault("exactly one of model and path must be set", "kinds[%d]", i)
		}
		if k.Model != "" && k.ExpectedOutput == 0 {
			c.addFault("must be positive for a model", "kinds[%d].expected_output", i)
		}
	}
}

func (c *checker) checkAssignments(d *schema.Document) {
	for i, a := range d.Assignments {
		if a.Organisation != Any && !c.orgs[a.Organisation] {
			c.addFault("names no organisation", "assignments[%d].organisation", i)
		}
		if a.Kind != Any && c.kinds[a.Kind] == nil {
			c.addFault("names no kind", "assignments[%d].kind", i)
		}
		if !c.tiers[a.Tier] {
			c.addFault("names no tier", "assignments[%d].tier", i)
		}
	}
	if n := len(d.Assignments); n == 0 || d.Assignments[n-1].Organisation != Any || d.Assignments[n-1].Kind != Any {
		c.addFault(`the last must be for organisation "*" and kind "*"`, "assignments")
	}
}

func (c *checker) checkEndpoints(list []*schema.Endpoint) {
	names := make(map[string]bool, len(list))
	for i, e := range list {
		if e.Name == "" || names[e.Name] {
			c.addFault("must be a unique name", "endpoints[%d].name", i)
		}
		names[e.Name] = true
		if e.Address == "" {
			c.addFault("is missing", "endpoints[%d].address", i)
		}
		if e.FailureDomain == "" {
			c.addFault("is missing", "endpoints[%d].failure_domain", i)
		}
		if e.Slots == 0 {
			c.addFault("must be positive", "endpoints[%d].slots", i)
		}
		c.checkServed(i, e)
	}
}

func (c *checker) checkServed(i int, e *schema.Endpoint) {
	if (len(e.Models) == 0) == (len(e.Kinds) == 0) {
		c.addFault("exactly one of models and kinds must be set", "endpoints[%d]", i)
	}
	if len(e.Models) > 0 && (e.PrefillTokensPerS <= 0 || e.OutputTokensPerS <= 0) {
		c.addFault("speeds must be positive for a model engine", "endpoints[%d]", i)
	}
	if e.PrefillPrice < 0 || e.OutputPrice < 0 {
		c.addFault("prices must not be negative", "endpoints[%d]", i)
	}
	for j, name := range e.Kinds {
		if k := c.kinds[name]; k == nil || k.Path == "" {
			c.addFault("names no kind of a plain service", "endpoints[%d].kinds[%d]", i, j)
		}
	}
}

// HasUnknownFields reports whether a message has fields that this version does
// not know. Such a record was written by a newer version and cannot be judged
// here.
func HasUnknownFields(m proto.Message) bool { return hasUnknownFields(m.ProtoReflect()) }

func hasUnknownFields(m protoreflect.Message) bool {
	if len(m.GetUnknown()) > 0 {
		return true
	}
	found := false
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case fd.Message() == nil || fd.IsMap():
		case fd.IsList():
			for i := range v.List().Len() {
				found = found || hasUnknownFields(v.List().Get(i).Message())
			}
		default:
			found = found || hasUnknownFields(v.Message())
		}
		return !found
	})
	return found
}
