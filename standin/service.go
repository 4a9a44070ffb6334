package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults can be changed while the stand-in runs.
type ServiceFaults struct {
	// LoseAnswers runs the call and then closes the connection.
	LoseAnswers bool `json:"lose_answers"`
	// DelayMS holds each call.
	DelayMS int `json:"delay_ms"`
}

// Service is a stand-in of a plain service. It answers with its name and the body.
type Service struct {
	Name string

	mu     sync.Mutex
	faults ServiceFaults
	ran    map[string]int
}

// Ran returns how often each request key was run.
func (s *Service) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.ran))
	for k, v := range s.ran {
		out[k] = v
	}
	return out
}

// SetFaults changes the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler serves every path.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ran", func(w http.ResponseWriter, _ *http.Request) { encode(w, s.Ran()) })
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
	if s.ran == nil {
		s.ran = make(map[string]int)
	}
	s.ran[r.Header.Get("X-Request-Key")]++
	f := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	encode(w, map[string]string{"service": s.Name, "path": r.URL.Path, "body": string(body)})
}
