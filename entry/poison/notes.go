package poison

import (
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/schema"
)

const (
	// maxRecent limits the recently changed records in each note, and those sent in rotation in
	// every tenth.
	maxRecent = 8
	// maxAtStart limits the records that each VM sends to a newly started process.
	maxAtStart = 64
)

// Urgent signals a sighting that other VMs should receive at once.
func (g *Guard) Urgent() <-chan struct{} { return g.urgent }

// ForNote returns the records for a note: those changed recently and, with inRotation, some of all
// in rotation.
func (g *Guard) ForNote(inRotation bool) []*schema.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.tracker.Recent(g.Now(), maxRecent)
	if inRotation {
		list = append(list, g.tracker.NextInRotation(g.Now(), maxRecent)...)
	}
	return listToWire(list)
}

// ForNewProcess returns the records to send to a newly started process.
func (g *Guard) ForNewProcess() []*schema.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return listToWire(g.tracker.HighestLevel(g.Now(), maxAtStart))
}

// Merge merges records received from another VM.
func (g *Guard) Merge(list []*schema.Suspect) {
	if len(list) > 0 {
		g.merge(list, learnedRemote)
	}
}

func (g *Guard) merge(list []*schema.Suspect, learned string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range list {
		g.tracker.Merge(g.Now(), fromWire(m))
	}
	g.handleChanges(learned)
}

func toWire(r suspect.Record) *schema.Suspect {
	m := &schema.Suspect{Digest: r.Digest[:], Cleared: uint32(r.Cleared), QuietMs: uint64(r.Age.Milliseconds())}
	for _, s := range r.Sightings {
		m.Sightings = append(m.Sightings, &schema.Sighting{
			Endpoint: s.Endpoint, Generation: uint32(s.Generation), EndedAt: uint32(s.EndedAt), AliveAt: uint32(s.AliveAt),
		})
	}
	return m
}

func fromWire(m *schema.Suspect) suspect.Record {
	r := suspect.Record{Digest: DigestFromWire(m.Digest), Cleared: int(m.Cleared), Age: schema.Duration(m.QuietMs)}
	for _, s := range m.Sightings {
		r.Sightings = append(r.Sightings, suspect.Sighting{
			Endpoint: s.Endpoint, Generation: int(s.Generation), EndedAt: int(s.EndedAt), AliveAt: int(s.AliveAt),
		})
	}
	return r
}

func listToWire(list []suspect.Record) []*schema.Suspect {
	var encoded []*schema.Suspect
	for _, r := range list {
		encoded = append(encoded, toWire(r))
	}
	return encoded
}

// DigestFromWire decodes a digest; bytes of the wrong length give the zero digest.
func DigestFromWire(b []byte) suspect.Digest {
	var d suspect.Digest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}
