package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// Rules give access to one accepted document.
type Rules struct {
	Version  uint64
	Document *schema.Document
	orgs     map[string]*schema.Organisation
	kinds    map[string]*schema.Kind
	TTL      time.Duration
}

// Compile builds the rules of a document that passed Check.
func Compile(version uint64, d *schema.Document) *Rules {
	r := &Rules{
		Version: version, Document: d,
		orgs:  make(map[string]*schema.Organisation, len(d.Organisations)),
		kinds: make(map[string]*schema.Kind, len(d.Kinds)),
		TTL:   parseDuration(d.RecordTtl),
	}
	for _, o := range d.Organisations {
		r.orgs[o.KeySha256] = o
	}
	for _, k := range d.Kinds {
		r.kinds[k.Name] = k
	}
	return r
}

// parseDuration parses a duration that Check has accepted; an empty one is 0.
func parseDuration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

// OrganisationByKey returns the organisation that owns an API key. Keys are
// looked up by their SHA-256, so the lookup time reveals nothing about them.
func (r *Rules) OrganisationByKey(key string) (*schema.Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	o, ok := r.orgs[hex.EncodeToString(sum[:])]
	return o, ok
}

// Kind returns the request kind of a name.
func (r *Rules) Kind(name string) (*schema.Kind, bool) {
	k, ok := r.kinds[name]
	return k, ok
}

// Tier returns the tier of an organisation's requests of a kind.
func (r *Rules) Tier(org, kind string) *schema.Tier {
	for _, a := range r.Document.Assignments {
		if (a.Organisation == Any || a.Organisation == org) && (a.Kind == Any || a.Kind == kind) {
			return r.Document.Tiers[a.Tier]
		}
	}
	return r.Document.Tiers[len(r.Document.Tiers)-1]
}

// Spec returns the properties of a request that the document determines.
func (r *Rules) Spec(org *schema.Organisation, kind *schema.Kind, id string) request.Spec {
	tier := r.Tier(org.Name, kind.Name)
	return request.Spec{
		Key:               request.Key{Organisation: org.Name, ID: id},
		Kind:              kind.Name,
		Tier:              request.Tier(tier.Number),
		Weight:            max(1, org.Weight),
		Idempotent:        !kind.NonIdempotent,
		TrustFirstAttempt: !homeOnly(kind),
		Model:             kind.Model,
		OutputTokens:      int(kind.ExpectedOutput),
		FirstTokenTarget:  parseDuration(tier.FirstTokenTarget),
	}
}

// DefaultDeadline returns the timeout of a request of a kind whose caller sets
// none.
func DefaultDeadline(k *schema.Kind) time.Duration { return parseDuration(k.Deadline) }
