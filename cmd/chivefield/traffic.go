package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chivefield/chivefield/daemon"
)

// trafficCommand measures the traffic between the VMs of one failure domain, over real
// loopback connections.
type trafficCommand struct {
	VMs    []int         `long:"vms" default:"2" default:"4" default:"6" default:"8" description:"Number of VMs in the domain"`
	Rates  []int         `long:"rate" default:"0" default:"5" default:"10" default:"20" description:"Requests per second at each VM"`
	Length time.Duration `long:"for" default:"5s" description:"Length of each measurement"`
}

// Execute implements flags.Commander.
func (c *trafficCommand) Execute([]string) error {
	fmt.Println("| VMs in the domain | requests/s per VM | peer bytes in and out, B/s per VM | calls/s per VM | CPU time of VMs and stand-ins, % of a core per VM | latency of a plain call, median and 99%, ms |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, n := range c.VMs {
		for _, r := range c.Rates {
			if err := c.measure(n, r); err != nil {
				return err
			}
		}
	}
	return nil
}

// measure starts n VMs, sends requests to them at the given rate and prints one table row.
func (c *trafficCommand) measure(n, rate int) error {
	ctx, stop := context.WithCancel(context.Background())
	domains := strings.Split(strings.Repeat("d ", n-1)+"d", " ")
	d, g, err := startDemo(ctx, io.Discard, domains)
	if err != nil {
		stop()
		return err
	}
	defer func() {
		stop()
		_ = g.Wait()
	}()
	op := operatorFlags{Address: d.vms[0].operators, Key: demoOperatorKey}
	if _, err := op.fetch(http.MethodPost, "/config", []byte(d.configDocument())); err != nil {
		return err
	}
	for _, v := range d.vms {
		d.waitReady(v)
	}
	time.Sleep(time.Second)
	before, err := d.readPeerTraffic()
	if err != nil {
		return err
	}
	cpuBefore := cpuTime()
	latency := d.measureLatency(rate, c.Length)
	cpuUsed := cpuTime() - cpuBefore
	after, err := d.readPeerTraffic()
	if err != nil {
		return err
	}
	vmSeconds := c.Length.Seconds() * float64(n)
	fmt.Printf("| %d | %d | %.0f | %.1f | %.2f | %s |\n", n, rate, (after.bytes-before.bytes)/vmSeconds, (after.calls-before.calls)/vmSeconds,
		100*cpuUsed.Seconds()/vmSeconds, latency)
	return nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureLatency sends plain calls at a constant rate to every VM and returns the median and
// the 99th percentile of their latency in ms as text.
func (d *demo) measureLatency(rate int, length time.Duration) string {
	if rate == 0 {
		time.Sleep(length)
		return "-"
	}
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := range rate * int(length/time.Second) {
		<-tick.C
		for vm := range d.vms {
			wg.Go(func() {
				start := time.Now()
				d.sendLookup(vm, fmt.Sprintf("%032x-%d", i, vm))
				mu.Lock()
				defer mu.Unlock()
				_ = latencies.RecordValue(time.Since(start).Microseconds())
			})
		}
	}
	wg.Wait()
	return fmt.Sprintf("%.2f, %.2f", float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000)
}

func (d *demo) sendLookup(vm int, id string) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.vms[vm].callers+"/v1/services/lookup", strings.NewReader("x"))
	req.Header.Set("Authorization", "Bearer "+demoAPIKey)
	req.Header.Set(daemon.HeaderID, id)
	req.Header.Set(daemon.HeaderAttempt, "1")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// peerTraffic holds bytes and calls between VMs, summed over all VMs.
type peerTraffic struct{ bytes, calls float64 }

func (d *demo) readPeerTraffic() (peerTraffic, error) {
	var t peerTraffic
	for _, v := range d.vms {
		op := operatorFlags{Address: v.operators, Key: demoOperatorKey}
		data, err := op.fetch(http.MethodGet, "/metrics", nil)
		if err != nil {
			return t, err
		}
		var m map[string]struct{ Count float64 }
		if err := json.Unmarshal(data, &m); err != nil {
			return t, err
		}
		t.bytes += m["peer.bytes_in"].Count + m["peer.bytes_out"].Count
		t.calls += m["peer.calls"].Count
	}
	return t, nil
}
