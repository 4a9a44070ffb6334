package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivefield/chivefield/daemon"
	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/settings"
	"github.com/chivefield/chivefield/standin"
)

// demoCommand runs four VMs in two failure domains against built-in stand-ins. All run
// in one process and communicate over loopback connections.
type demoCommand struct {
	Verbose bool `long:"verbose" description:"Print every log line of the VMs"`
}

const (
	demoAPIKey      = "demo-api-key"
	demoPeerKey     = "demo-peer-key-demo"
	demoOperatorKey = "demo-operator-key-demo"
)

// demoVM is a VM of the demo with its listener addresses.
type demoVM struct {
	id                        int
	domain                    string
	callers, peers, operators string
}

type demo struct {
	listeners map[string]net.Listener
	platform  string
	engines   []string
	service   string
	vms       []*demoVM
	log       io.Writer
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d, g, err := startDemo(ctx, &eventFilter{out: os.Stdout, all: c.Verbose}, []string{"north", "north", "south", "south"})
	if err != nil {
		return err
	}
	if err := d.runScenario(); err != nil {
		return err
	}
	fmt.Println("\n# SIGTERM: each VM hands over its keys and exits")
	stop()
	return g.Wait()
}

// startDemo starts the stand-ins and one VM for each entry of domains, which holds the
// names of the VMs' failure domains.
func startDemo(ctx context.Context, log io.Writer, domains []string) (*demo, *errgroup.Group, error) {
	d := &demo{listeners: map[string]net.Listener{}, log: log}
	if err := d.setUp(domains); err != nil {
		return nil, nil, err
	}
	var g errgroup.Group
	for _, v := range d.vms {
		set, err := settings.Parse([]byte(d.vmSettings(v)))
		if err != nil {
			return nil, nil, err
		}
		dm := daemon.New(daemon.Options{Settings: set, Log: logging.New(d.log).With().Int("vm", v.id).Logger(), Listen: d.listen})
		g.Go(func() error { return dm.Run(ctx) })
	}
	return d, &g, nil
}

// eventFilter forwards the log lines of the events that the demo shows, or all lines if
// all is set. It omits the first field, the time.
type eventFilter struct {
	mu  sync.Mutex
	out io.Writer
	all bool
}

// Write implements io.Writer.
func (f *eventFilter) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ev := range []string{"dispatch", "attach", "stop ", "outcome", "drained"} {
		if f.all || bytes.Contains(p, []byte("event="+ev)) {
			_, after, _ := bytes.Cut(p, []byte(" "))
			_, _ = fmt.Fprintf(f.out, "    %s", after)
			break
		}
	}
	return len(p), nil
}

// setUp opens listeners on free addresses, starts the stand-ins and assigns addresses to
// the VMs.
func (d *demo) setUp(domains []string) error {
	var addrs []string
	for range 4 + 3*len(domains) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		d.listeners[l.Addr().String()] = l
		addrs = append(addrs, l.Addr().String())
	}
	d.platform, d.engines, d.service = addrs[0], addrs[1:3], addrs[3]
	d.serve(d.platform, (&standin.Platform{AppendsPerSecond: 400}).Handler())
	d.serve(d.service, (&standin.Service{Name: "accounts"}).Handler())
	for i, a := range d.engines {
		e := standin.NewEngine(fmt.Sprint("engine", i), engine.Config{
			Slots: 2, PrefillSpeed: 4000, OutputSpeed: 60 * float64(i+1), BatchCost: 0.03, CacheBlocks: 1000,
		})
		d.serve(a, e.Handler())
	}
	for i, domain := range domains {
		a := addrs[4+3*i:]
		d.vms = append(d.vms, &demoVM{id: i + 1, domain: domain, callers: a[0], peers: a[1], operators: a[2]})
	}
	return nil
}

func (d *demo) listen(addr string) (net.Listener, error) { return d.listeners[addr], nil }

func (d *demo) serve(addr string, h http.Handler) {
	l := d.listeners[addr]
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
}

// vmSettings returns the settings file of a VM.
func (d *demo) vmSettings(v *demoVM) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nid = %d\nfailure_domain = %q\n", v.id, v.domain)
	fmt.Fprintf(&b, "[listen]\ncallers = %q\npeers = %q\noperators = %q\n", v.callers, v.peers, v.operators)
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", d.platform)
	fmt.Fprintf(&b, "[keys]\npeer = %q\noperator = %q\n[claims]\ntrust_connection_close = true\n", demoPeerKey, demoOperatorKey)
	for _, p := range d.vms {
		if p != v {
			fmt.Fprintf(&b, "[[peers]]\nid = %d\nfailure_domain = %q\naddress = %q\n", p.id, p.domain, p.peers)
		}
	}
	return b.String()
}

// configDocument returns the configuration document of the demo.
func (d *demo) configDocument() string {
	sum := sha256.Sum256([]byte(demoAPIKey))
	var b strings.Builder
	b.WriteString("schema_version = 1\nauthor = \"demo\"\nrecord_ttl = \"15m\"\n")
	b.WriteString("[[tiers]]\nnumber = 0\nname = \"clearance\"\n[[tiers]]\nnumber = 1\nname = \"draft\"\n")
	fmt.Fprintf(&b, "[[organisations]]\nname = \"karrawong\"\nkey_sha256 = %q\n", hex.EncodeToString(sum[:]))
	b.WriteString("[[kinds]]\nname = \"check\"\ndeadline = \"3s\"\nmodel = \"m\"\nexpected_output = 60\n")
	b.WriteString("[[kinds]]\nname = \"draft\"\ndeadline = \"30s\"\nmodel = \"m\"\nexpected_output = 200\n")
	b.WriteString("[[kinds]]\nname = \"lookup\"\ndeadline = \"5s\"\npath = \"/lookup\"\n")
	b.WriteString("[[kinds]]\nname = \"invoice\"\ndeadline = \"5s\"\npath = \"/invoice\"\nnon_idempotent = true\n")
	b.WriteString("[[assignments]]\norganisation = \"*\"\nkind = \"draft\"\ntier = 1\n")
	b.WriteString("[[assignments]]\norganisation = \"*\"\nkind = \"*\"\ntier = 0\n")
	for i, a := range d.engines {
		fmt.Fprintf(&b, "[[endpoints]]\nname = \"engine%d\"\naddress = %q\nfailure_domain = \"north\"\nmodels = [\"m\"]\nchecks_fencing = true\n", i, a)
		fmt.Fprintf(&b, "slots = 2\nprefill_tokens_per_s = 4000\noutput_tokens_per_s = %d\nprefill_price = %d\noutput_price = %d\n", 60*(i+1), i+1, 4*(i+1))
	}
	fmt.Fprintf(&b, "[[endpoints]]\nname = \"accounts\"\naddress = %q\nfailure_domain = \"south\"\nkinds = [\"invoice\", \"lookup\"]\nslots = 8\n", d.service)
	return b.String()
}

// runScenario submits the configuration, sends the demo's requests and prints the responses.
func (d *demo) runScenario() error {
	fmt.Println("# Four VMs in two failure domains join; a configuration is submitted to one")
	op := operatorFlags{Address: d.vms[0].operators, Key: demoOperatorKey}
	if err := op.callAndPrint(http.MethodPost, "/config", []byte(d.configDocument())); err != nil {
		return err
	}
	for _, v := range d.vms {
		d.waitReady(v)
	}
	fmt.Println("\n# A streamed check; its retry in the other failure domain attaches to the same run")
	d.send(0, "check", "c1", 1, 40)
	d.send(3, "check", "c1", 2, 40)
	fmt.Println("\n# An invoice and a retry of the same invoice: it runs once")
	d.send(1, "invoice", "i1", 1, 0)
	d.send(2, "invoice", "i1", 2, 0)
	fmt.Println("\n# Drafts at one VM fill both engines; a check with a short deadline at another VM preempts one")
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { d.send(0, "draft", fmt.Sprint("d", i), 1, 400) })
	}
	time.Sleep(300 * time.Millisecond)
	d.send(1, "check", "c2", 1, 60)
	wg.Wait()
	return nil
}

func (d *demo) waitReady(v *demoVM) {
	for range 500 {
		resp, err := http.Get("http://" + v.callers + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// send sends one request and prints its result.
func (d *demo) send(vm int, kind, id string, attempt, tokens int) {
	path, body := "/v1/completions", fmt.Sprintf(`{"model":"m","prompt":"Is supplier %s insured?","max_tokens":%d,"stream":true}`, id, tokens)
	if kind == "invoice" {
		path, body = "/v1/services/invoice", "invoice "+id
	}
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.vms[vm].callers+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+demoAPIKey)
	req.Header.Set(daemon.HeaderID, id)
	req.Header.Set(daemon.HeaderAttempt, fmt.Sprint(attempt))
	if kind != "invoice" {
		req.Header.Set(daemon.HeaderKind, kind)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Println("  request", id, "failed:", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	broken := ""
	if err != nil {
		broken = ", connection broken"
	}
	fmt.Printf("  request %s at vm%d: status %d, %d bytes%s, after %v\n", id, vm+1, resp.StatusCode, len(data), broken, time.Since(start).Round(time.Millisecond))
}
