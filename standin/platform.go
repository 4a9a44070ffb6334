// Package standin implements small in-memory stand-ins for the external systems:
// the platform's log and VM list, an inference engine and a plain service. They
// are run by tests, the demo and the standin command.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chivefield/chivefield/logservice"
)

// PlatformFaults are the injected faults of a Platform. They can be changed while it runs.
type PlatformFaults struct {
	// Down rejects all requests.
	Down bool `json:"down"`
	// LoseResponses makes an append take effect and then return an error.
	LoseResponses bool `json:"lose_answers"`
	// KeepLast is the number of newest records that are kept; 0 keeps all.
	KeepLast int `json:"keep_last"`
}

// Platform is a stand-in for the platform. The zero value is ready to use.
type Platform struct {
	// AppendsPerSecond is the rate limit of appends; 0 means no limit.
	AppendsPerSecond int

	mu            sync.Mutex
	faults        PlatformFaults
	firstOffset   uint64
	records       []logservice.Record
	vms           []logservice.VMStatus
	windowStart   time.Time
	windowAppends int
	appendCount   int
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.trimRecords()
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(list []logservice.VMStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = list
}

// Records returns the records that the log still holds.
func (p *Platform) Records() []logservice.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]logservice.Record(nil), p.records...)
}

// AppendCount returns the number of appends that took effect.
func (p *Platform) AppendCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendCount
}

// Handler serves the log, the list of VMs and the endpoints that change faults and VMs.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log", p.append)
	mux.HandleFunc("GET /log", p.readLog)
	mux.HandleFunc("GET /vms", p.listVMs)
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if decode(w, r, &f) {
			p.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /control/vms", func(w http.ResponseWriter, r *http.Request) {
		var list []logservice.VMStatus
		if decode(w, r, &list) {
			p.SetVMs(list)
		}
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

const maxRecordBytes = 16 << 20

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if !p.allowAppend() {
		http.Error(w, "rate", http.StatusTooManyRequests)
		return
	}
	offset := p.firstOffset + uint64(len(p.records))
	p.records = append(p.records, logservice.Record{Offset: offset, Data: data})
	p.appendCount++
	p.trimRecords()
	if p.faults.LoseResponses {
		http.Error(w, "lost", http.StatusBadGateway)
		return
	}
	encode(w, map[string]uint64{"offset": offset})
}

func (p *Platform) allowAppend() bool {
	if p.AppendsPerSecond == 0 {
		return true
	}
	if now := time.Now(); now.Sub(p.windowStart) >= time.Second {
		p.windowStart, p.windowAppends = now, 0
	}
	p.windowAppends++
	return p.windowAppends <= p.AppendsPerSecond
}

func (p *Platform) trimRecords() {
	if keep := p.faults.KeepLast; keep > 0 && len(p.records) > keep {
		drop := len(p.records) - keep
		p.firstOffset += uint64(drop)
		p.records = append([]logservice.Record(nil), p.records[drop:]...)
	}
}

func (p *Platform) readLog(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	b := logservice.Batch{First: p.firstOffset, Next: p.firstOffset + uint64(len(p.records))}
	start := min(max(from, p.firstOffset)-p.firstOffset, uint64(len(p.records)))
	end := min(start+uint64(max(limit, 1)), uint64(len(p.records)))
	b.Records = p.records[start:end]
	encode(w, b)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	encode(w, p.vms)
}
