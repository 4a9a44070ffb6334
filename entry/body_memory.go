package entry

import "sync"

// freeFactor bounds what one of several configured services may hold: at most freeFactor times what would remain free,
// so at most four fifths of the memory if no other service holds any. The only service of a configuration is not
// bounded.
const freeFactor = 4

// bodyMemory limits the total size of request bodies held in memory, in bytes, and what one of several services may hold
// of it: the endpoints of one may read slowly, or not at all, while those of others read.
type bodyMemory struct {
	mu        sync.Mutex
	available int64
	// held is the size of the bodies of each service.
	held map[string]int64
}

func newBodyMemory(n int64) *bodyMemory {
	return &bodyMemory{available: n, held: make(map[string]int64)}
}

// reserve reserves memory for a body of a service, which may be the only service of the configuration. It reports whether there was
// enough.
func (m *bodyMemory) reserve(service string, n int64, onlyService bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	free := m.available - n
	if free < 0 || !onlyService && m.held[service]+n > freeFactor*free {
		return false
	}
	m.available = free
	m.held[service] += n
	return true
}

func (m *bodyMemory) release(service string, n int64) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.available += n
	if m.held[service] -= n; m.held[service] == 0 {
		delete(m.held, service)
	}
}
