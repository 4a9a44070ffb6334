package entry

import "github.com/chivefield/chivefield/core/dispatch"

// countReturns counts the return times that this VM promised to refused callers as a placer.
func (d *Daemon) countReturns(c dispatch.ReturnCounts) {
	for name, n := range map[string]int{"made": c.Made, "kept": c.Kept, "lapsed": c.Lapsed, "early": c.Early} {
		if n > 0 {
			d.countMany("promises."+name, n)
		}
	}
}
