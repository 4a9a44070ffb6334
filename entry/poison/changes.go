package poison

import (
	"strconv"
	"strings"

	"github.com/chivefield/chivefield/core/suspect"
)

// Where a change was learned, in logs.
const (
	learnedSeen   = "seen"
	learnedRemote = "told"
	learnedStore  = "store"
)

// changeEvents and partChangeEvents map the kinds of changes to log events.
var (
	changeEvents     = [...]string{"request_suspected", "request_convicted", "request_cleared", "request_forgotten"}
	partChangeEvents = [...]string{"part_suspected", "part_convicted", "part_cleared", "part_forgotten"}
)

// handleChanges logs the tracker's latest changes and acts on them. The caller holds the lock.
func (g *Guard) handleChanges(learned string) {
	for _, c := range g.tracker.TakeChanges() {
		if learned == learnedSeen && c.Level > c.PreviousLevel {
			select {
			case g.urgent <- struct{}{}:
			default:
			}
		}
		if c.Kind == suspect.Convicted {
			g.countConviction(c.Digest)
			g.stopUnanswered(c.Digest)
		}
		g.updateStored(c, learned)
		if c.Level <= 1 && !c.WasConvicted() && learned != learnedSeen {
			// Not logged: each VM would log every request that ran beside a poison request on each
			// endpoint that ends.
			continue
		}
		g.logChange(c, learned)
	}
}

func (g *Guard) countConviction(d suspect.Digest) {
	if d.IsPart() {
		g.Count("parts_convicted")
	} else {
		g.Count("requests_convicted")
	}
}

func (g *Guard) logChange(c suspect.Change, learned string) {
	event, ends := changeEvents[c.Kind], c.Level
	if c.Digest.IsPart() {
		// The level of a part is lower than the number of incarnations that terminated under it.
		event, ends = partChangeEvents[c.Kind], len(c.Endpoints)
	}
	hashes := make([]string, 0, len(c.Endpoints))
	for _, hash := range c.Endpoints {
		hashes = append(hashes, strconv.FormatUint(hash, 10))
	}
	g.Log.Info().Stringer("digest", c.Digest).Int("ends", ends).Int("level", c.Level).Int("ends_before", c.PreviousLevel).Str("endpoint_hashes", strings.Join(hashes, ",")).
		Str("learned", learned).Msg(event)
}
