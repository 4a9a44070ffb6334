// Command 4 shows where streams go on whose server leaves, after a version of the configuration that moves their route to
// another service and no longer names the service that runs them.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/platform/fake"
	"github.com/chivefield/chivefield/review/rig"
)

const (
	oldService = "chive-review"
	newService = "chive-review-2"
	slots      = 9
	memory     = 560406
	// A request of each route is answered with so many events, at this interval.
	dossierEvents = 120
	ticketEvents  = 4
	interval      = 80 * time.Millisecond
	limit         = 15 * time.Second
	// drain is how long after the store has accepted that it drains a server may get requests.
	drain = 2 * time.Second
	// change is when the configuration changes, from the start of the traffic; the first old server drains drainAfter it.
	change     = 5 * time.Second
	drainAfter = 500 * time.Millisecond
	// One old server is taken away and exits scaleInExit after it has begun to drain. Others are replaced, one each
	// releaseGap, and exit releaseExit after they have begun to drain.
	scaleInExit   = 9 * time.Second
	releaseCount  = 3
	releaseGap    = time.Second
	releaseExit   = 3500 * time.Millisecond
	trafficLength = 12 * time.Second
	// dossierStart is when the first dossiers are sent: they last for ten seconds.
	dossierStart = 3500 * time.Millisecond
	oldServers   = 8
	newServers   = 4
	pause        = 50 * time.Millisecond
	// These many clients send dossiers, and tickets.
	dossierClients = 48
	ticketClients  = 16
)

// arrivals holds the times at which requests reached the servers of the old service, and since when these drain.
type arrivals struct {
	mu       sync.Mutex
	list     map[string][]time.Duration
	draining map[string]time.Duration
}

func (a *arrivals) add(server string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list[server] = append(a.list[server], at)
}

func (a *arrivals) setDraining(server string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining[server] = at
}

// late returns how many requests reached draining servers too late, and records them.
func (a *arrivals) late(w *rig.World) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for server, accepted := range a.draining {
		for _, at := range a.list[server] {
			if at > accepted+drain {
				n++
				w.Printf("BROKEN DRAIN: a request reached %s at %.3f, %.3f s after the store had accepted that it drains", server, at.Seconds(), (at - accepted).Seconds())
			}
		}
	}
	return n
}

// serve answers with a stream, which goes on after the event that the request names.
func serve(w *rig.World, record *arrivals) fake.Script {
	return func(a *fake.Arrival, conn io.Writer) bool {
		id, after := a.Request.Header.Get(rig.Names.ID), a.Request.Header.Get(rig.Names.LastEvent)
		if record != nil {
			record.add(a.Endpoint, w.Since())
		}
		w.Printf("server %s runs %s after event %q", a.Endpoint, id, after)
		last, err := strconv.Atoi(after)
		if err != nil {
			last = 0
		}
		fake.Head(conn, a, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		events := dossierEvents
		if strings.HasPrefix(a.Request.URL.Path, ticketPrefix) {
			events = ticketEvents
		}
		for i := last + 1; i <= events; i++ {
			select {
			case <-a.Disconnected:
				return false
			case <-time.After(interval):
			}
			fake.Chunk(conn, fake.Events(i, 1))
		}
		fake.LastChunk(conn)
		return true
	}
}

const (
	dossierPrefix = "/dossier/"
	ticketPrefix  = "/ticket/"
)

func config(version int, service string) map[string]any {
	route := func(name, prefix string, objectiveMs, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "perth.example", "path-prefix": prefix, "kind": "streaming", "resumable": true, "sticky-sessions": true,
			"timeout-ms": 15000, "target-latency-ms": objectiveMs, "gap-aim-ms": 250, "priority": priority, "service": service, "max-attempts": 2, "public": true,
		}
	}
	return map[string]any{
		"version": version, "limits": rig.Limits(),
		"routes": []any{route("dossier-review", dossierPrefix, 800, 0), route("ticket-flag", ticketPrefix, 400, 2)},
		"services": []any{map[string]any{
			"name": service, "health-path": "/healthz", "max-conns": 240,
			"engine": map[string]any{"slots": slots, "kv-capacity-tokens": memory, "stride": 6},
		}},
	}
}

func run(w *rig.World, trouble bool) (bool, error) {
	w.PutConfig(config(1, oldService))
	record := &arrivals{list: make(map[string][]time.Duration), draining: make(map[string]time.Duration)}
	var old []*rig.Server
	zones := []string{"kewdale-a", "kewdale-b"}
	for i := range oldServers {
		s, err := w.AddServer("i-old-"+strconv.Itoa(i+1), oldService, zones[i%2], slots, serve(w, record))
		if err != nil {
			return false, err
		}
		old = append(old, s)
	}
	for i := range newServers {
		if _, err := w.AddServer("i-new-"+strconv.Itoa(i+1), newService, zones[i%2], slots, serve(w, nil)); err != nil {
			return false, err
		}
	}
	if err := w.StartVMs(rig.VMSettings{Name: "edge-kewdale-a-1", Domain: zones[0]}, rig.VMSettings{Name: "edge-kewdale-b-1", Domain: zones[1]}); err != nil {
		return false, err
	}
	begin := time.Now()
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range dossierClients + ticketClients {
		path, tokens, start := dossierPrefix, "6610,720", dossierStart
		if i >= dossierClients {
			path, tokens, start = ticketPrefix, "1800,24", 0
		}
		wg.Go(func() {
			c := rig.NewClient(w.VMs[i%len(w.VMs)].Callers)
			defer c.Close()
			time.Sleep(start)
			for time.Since(begin) < trafficLength {
				id := rig.NewAttempt()
				a := c.Do(rig.Request{
					ID: id, Method: http.MethodPost, Host: "perth.example", Path: path + "1", Timeout: limit, Body: "a dossier",
					Headers: []string{rig.Names.Model + ": m", rig.Names.Tokens + ": " + tokens, fmt.Sprintf("%s: 5c1e07a2:60,%x:1740", rig.Names.Prefix, 0x1000+i)},
				})
				w.Printf("client %d %s: %d %v", i, id, a.Status, a.Err)
				if a.Status == http.StatusOK && a.Err == nil {
					served.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(change)
	services := []string{newService}
	version2 := config(2, newService)
	if !trouble {
		// The same, but the old service is still named.
		version2["services"] = append(version2["services"].([]any), config(2, oldService)["services"].([]any)...)
		services = append(services, oldService)
	}
	w.PutConfig(version2)
	w.Printf("the store has accepted version 2, which moves the route to %s; its services are %v", newService, services)
	time.Sleep(drainAfter)
	leave := func(s *rig.Server, lingers time.Duration) {
		w.Drain(s)
		record.setDraining(s.ID, w.Since())
		w.Printf("the store has accepted that %s drains", s.ID)
		wg.Go(func() {
			time.Sleep(lingers)
			w.RemoveEntry(s)
			s.Close()
			w.Printf("server %s has exited", s.ID)
		})
	}
	leave(old[0], scaleInExit)
	for i := range releaseCount {
		if _, err := w.AddServer("i-next-"+strconv.Itoa(i+1), oldService, zones[i%2], slots, serve(w, record)); err != nil {
			return false, err
		}
		leave(old[1+i], releaseExit)
		time.Sleep(releaseGap)
	}
	wg.Wait()
	late := record.late(w)
	w.Printf("served %d, late at draining servers %d", served.Load(), late)
	return late > 0, nil
}

func main() { rig.Main("review/4/record.txt", run) }
