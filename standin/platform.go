// Package standin has small stand-ins of the outside systems: the platform's
// log and VM list, a model engine and a plain service. Tests, the demo and the
// load tool run them; they keep everything in memory.
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

// PlatformFaults can be changed while the stand-in runs.
type PlatformFaults struct {
	// Down refuses everything.
	Down bool `json:"down"`
	// LoseResponses appends and then fails.
	LoseResponses bool `json:"lose_answers"`
	// KeepLast drops all but the newest records; 0 keeps all.
	KeepLast int `json:"keep_last"`
}

// Platform is a stand-in of the platform. The zero value is ready.
type Platform struct {
	// AppendsPerSecond limits appends; 0 means no limit.
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

// SetFaults changes the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.trimRecords()
}

// SetVMs changes the list of VMs.
func (p *Platform) SetVMs(list []logservice.VMStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = list
}

// Records returns what the log keeps.
func (p *Platform) Records() []logservice.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]logservice.Record(nil), p.records...)
}

// AppendCount counts the appends that took effect.
func (p *Platform) AppendCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendCount
}

// Handler serves the log, the list and the control of faults.
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
