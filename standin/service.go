package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the injected faults of a Service. They can be changed while it runs.
type ServiceFaults struct {
	// LoseResponses runs the request and then closes the connection.
	LoseResponses bool `json:"lose_answers"`
	// DelayMS delays each response by that many milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Service is a stand-in for a plain service. It responds with its name and the
// path and body of the request.
type Service struct {
	Name string

	mu        sync.Mutex
	faults    ServiceFaults
	runCounts map[string]int
}

// RunCounts returns the number of runs of each request key.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runCounts))
	for k, v := range s.runCounts {
		out[k] = v
	}
	return out
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler serves all paths and the endpoints under /control.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ran", func(w http.ResponseWriter, _ *http.Request) { encode(w, s.RunCounts()) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFaults
		if decode(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.runCounts == nil {
		s.runCounts = make(map[string]int)
	}
	s.runCounts[r.Header.Get("X-Request-Key")]++
	f := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	encode(w, map[string]string{"service": s.Name, "path": r.URL.Path, "body": string(body)})
}
