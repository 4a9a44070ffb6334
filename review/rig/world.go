// Package rig has what the cases of the review share: the store, servers, machines and clients of a small deployment, on
// loopback addresses.
package rig

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/chivefield/chivefield/platform/fake"
)

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

const (
	// heartbeat is how often servers write their registry entries.
	heartbeat = 1200 * time.Millisecond
	// Lead is the time from the start of the machines to that of the traffic.
	Lead = 10 * time.Second
)

// World is a deployment.
type World struct {
	*Record
	Store *fake.Store
	Dir   string
	VMs   []*VM

	mu      sync.Mutex
	servers map[string]*Server
	stop    chan struct{}
}

// Server is a server in the registry.
type Server struct {
	*fake.Endpoint
	Service, Zone string
	Slots         int
	born          int64
	state         string
	seq           int
}

// NewWorld starts a store. The record is written to path.
func NewWorld(path string) (*World, error) {
	r, err := NewRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Record: r, Store: fake.NewStore(), Dir: dir, servers: make(map[string]*Server), stop: make(chan struct{})}
	go w.beat()
	return w, nil
}

// Close ends all processes and stand-ins, and removes the files.
func (w *World) Close() {
	close(w.stop)
	for _, v := range w.VMs {
		v.Kill()
	}
	w.mu.Lock()
	for _, s := range w.servers {
		s.Close()
	}
	w.mu.Unlock()
	w.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.Dir)
	}
	w.Record.Close()
}

// AddServer starts a server and registers it as ready.
func (w *World) AddServer(id, service, zone string, slots int, script fake.Script) (*Server, error) {
	e, err := fake.NewEndpoint(id, script)
	if err != nil {
		return nil, err
	}
	s := &Server{Endpoint: e, Service: service, Zone: zone, Slots: slots, born: time.Now().UnixMilli(), state: "ready"}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id] = s
	w.put(s)
	return s, nil
}

// Drain reports that a server is draining; it goes on serving. The store has accepted that when Drain returns.
func (w *World) Drain(s *Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.state = "draining"
	w.put(s)
}

// RemoveEntry removes a server's registry entry; the server goes on serving. The store has acknowledged that when
// RemoveEntry returns.
func (w *World) RemoveEntry(s *Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.state = ""
	w.Store.Put(Names.ServersTopic, s.ID, nil)
}

// put writes a server's entry. The caller holds the lock.
func (w *World) put(s *Server) {
	s.seq++
	w.Store.Put(Names.ServersTopic, s.ID, map[string]any{
		"service": s.Service, "address": s.Address(), "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": s.state, "cold-remaining-ms": 0, "seq": s.seq, "born": s.born,
	})
}

// beat writes the entries of all servers.
func (w *World) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-t.C:
		}
		w.mu.Lock()
		for _, s := range w.servers {
			if s.state != "" {
				w.put(s)
			}
		}
		w.mu.Unlock()
	}
}

// PutConfig writes a configuration.
func (w *World) PutConfig(config map[string]any) { w.Store.Put(Names.OperatorTopic, "config", config) }

// Limits are the limits of a configuration.
func Limits() map[string]any {
	return map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000}
}

// ErrNotReady reports that the machines did not become ready.
var ErrNotReady = errors.New("the machines did not become ready")

// StartVMs starts machines and waits until they are ready and the time before the traffic is over.
func (w *World) StartVMs(list ...VMSettings) error {
	domains := make(map[string]string)
	for _, s := range list {
		if s.Domains == nil {
			domains[s.Domain] = "wa-perth"
		}
	}
	for _, s := range list {
		if s.Domains == nil {
			s.Domains = domains
		}
		if s.Store == "" {
			s.Store = w.Store.Address()
		}
		s.FirstStart = true
		v, err := w.startVM(s)
		if err != nil {
			return err
		}
		w.VMs = append(w.VMs, v)
	}
	time.Sleep(Lead)
	for _, v := range w.VMs {
		if !v.IsReady() {
			return ErrNotReady
		}
		w.Printf("vm %s callers=%s ready", v.Settings.Name, v.Callers)
	}
	return nil
}

const (
	// startTries is how often a machine is given other ports, if it ends within startCheck because another program has
	// taken one of them.
	startTries = 5
	startCheck = 200 * time.Millisecond
)

func (w *World) startVM(s VMSettings) (*VM, error) {
	for range startTries {
		v, err := NewVM(w.Dir, s)
		if err != nil {
			return nil, err
		}
		if err := v.Start(); err != nil {
			return nil, err
		}
		select {
		case <-v.Exited():
		case <-time.After(startCheck):
			return v, nil
		}
	}
	return nil, ErrNotReady
}

// Main runs a case and exits with its code. trouble is unset by TROUBLE=0.
func Main(path string, run func(w *World, trouble bool) (broken bool, err error)) {
	w, err := NewWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.Close()
		os.Exit(CannotRun)
	}()
	broken, err := run(w, os.Getenv("TROUBLE") != "0")
	code := Held
	switch {
	case err != nil:
		w.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = CannotRun
	case broken:
		code = Broken
	}
	w.Printf("exit %d", code)
	w.Close()
	os.Exit(code)
}
