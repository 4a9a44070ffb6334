package dispatch

// spare is how many requests may be at an endpoint beyond its slots, so that a
// slot that frees is taken at once and not a round trip later.
const spare = 1

// hasRoom says whether a free slot is expected.
func (e *endpoint) hasRoom(u Use) bool {
	return u.Running+u.Waiting < e.Slots+spare
}
