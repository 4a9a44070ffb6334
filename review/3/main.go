// Command 3 shows to which servers a machine sends requests after its path to the store was cut for some seconds, if one
// of them left about the time at which the path healed.
package main

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/platform/fake"
	"github.com/chivefield/chivefield/review/rig"
)

const (
	service = "onboard-api"
	slots   = 6
	work    = 60 * time.Millisecond
	limit   = 4 * time.Second
	// drain is how long after the store has acknowledged its leaving a server may get requests, stability how long after
	// a disturbance of its own a machine is in touch again.
	drain     = 2 * time.Second
	stability = 3 * time.Second
	// cutStart is when the path is cut, from the start of the traffic, cutLength for how long.
	cutStart  = 4 * time.Second
	cutLength = 5500 * time.Millisecond
	// leaveBefore is how long before the path heals a server leaves. It goes on serving for lingers.
	leaveBefore   = 200 * time.Millisecond
	lingers       = 6 * time.Second
	trafficLength = 20 * time.Second
	servers       = 8
	clients       = 16
	pause         = 20 * time.Millisecond
)

// arrivals holds the times at which requests reached the server that leaves.
type arrivals struct {
	mu   sync.Mutex
	list []time.Duration
}

func (a *arrivals) add(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, at)
}

func serve(w *rig.World, record *arrivals) fake.Script {
	return func(a *fake.Arrival, conn io.Writer) bool {
		id := a.Request.Header.Get(rig.Names.ID)
		if record != nil {
			record.add(w.Since())
		}
		w.Printf("server %s runs %s", a.Endpoint, id)
		time.Sleep(work)
		body := "done " + id
		fake.Head(conn, a, http.StatusOK, "Content-Length: "+strconv.Itoa(len(body)))
		_, _ = io.WriteString(conn, body)
		return true
	}
}

func config() map[string]any {
	return map[string]any{
		"version": 1, "limits": rig.Limits(),
		"routes": []any{map[string]any{
			"name": "notice-post", "host": "perth.example", "path-prefix": "/notice/", "kind": "non_idempotent", "timeout-ms": 4000,
			"target-latency-ms": 300, "priority": 2, "service": service, "max-attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": service, "health-path": "/healthz", "max-conns": 110}},
	}
}

func run(w *rig.World, trouble bool) (bool, error) {
	w.PutConfig(config())
	path, err := rig.NewProxy(w.Store.Address())
	if err != nil {
		return false, err
	}
	defer path.Close()
	leaving := &arrivals{}
	var left *rig.Server
	for i := range servers {
		zone := []string{"malaga", "osborne"}[i%2]
		var record *arrivals
		if i == 0 {
			record = leaving
		}
		s, err := w.AddServer("i-"+strconv.Itoa(i+1), service, zone, slots, serve(w, record))
		if err != nil {
			return false, err
		}
		if i == 0 {
			left = s
		}
	}
	err = w.StartVMs(
		rig.VMSettings{Name: "edge-malaga-1", Domain: "malaga", CPUShare: 0.8, Store: path.Address()},
		rig.VMSettings{Name: "edge-osborne-1", Domain: "osborne", CPUShare: 0.4},
	)
	if err != nil {
		return false, err
	}
	begin := time.Now()
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			c := rig.NewClient(w.VMs[i%len(w.VMs)].Callers)
			defer c.Close()
			for time.Since(begin) < trafficLength {
				id := rig.NewAttempt()
				a := c.Do(rig.Request{ID: id, Method: http.MethodPost, Host: "perth.example", Path: "/notice/1", Timeout: limit, Body: "post it once"})
				w.Printf("client %d at %s %s: %d %v", i, w.VMs[i%len(w.VMs)].Settings.Name, id, a.Status, a.Err)
				if a.Status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(cutStart)
	if trouble {
		path.SetCut(true)
		w.Printf("the path from edge-malaga-1 to the store is cut")
	}
	time.Sleep(cutLength - leaveBefore)
	w.RemoveEntry(left)
	acknowledged := w.Since()
	w.Printf("the store has acknowledged that %s is gone", left.ID)
	time.Sleep(leaveBefore)
	path.SetCut(false)
	healed := w.Since()
	w.Printf("the path is healed")
	time.Sleep(lingers - leaveBefore)
	left.Close()
	w.Printf("server %s has exited", left.ID)
	wg.Wait()
	// Without the disturbance the machines were in touch all the while.
	from := acknowledged + drain
	if trouble {
		from = max(from, healed+stability)
	}
	late := 0
	for _, at := range leaving.list {
		if at > from {
			late++
			w.Printf("BROKEN DRAIN: a request reached %s at %.3f, %.3f s after the store's acknowledgement", left.ID, at.Seconds(), (at - acknowledged).Seconds())
		}
	}
	w.Printf("served %d, late at the server that left %d", served.Load(), late)
	return late > 0, nil
}

func main() { rig.Main("review/3/record.txt", run) }
