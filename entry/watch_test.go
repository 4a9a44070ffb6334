package entry

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/settings"
)

// A VM whose processes are killed one after the other takes what is kept for restarts once:
// each finds the start of the one before in the store.
func TestRestartsInSeriesClaimOnce(t *testing.T) {
	is := is.New(t)
	const window = 8 * time.Second
	vm := allowance.VM{Address: "10.0.0.1:1", Domain: "a"}
	start := time.UnixMilli(1786786484342)
	claims := 0
	stored := (vmRecord{VM: vm, started: start}).String()
	for _, after := range []time.Duration{30 * time.Second, 31 * time.Second, 37 * time.Second, 50 * time.Second} {
		last, err := parseVMRecord(stored)
		is.NoErr(err)
		is.Equal(last.VM, vm)
		self := vmRecord{VM: vm, started: start.Add(after)}
		if mayClaim(last, self, window) {
			claims++
		}
		stored = self.String()
	}
	is.Equal(claims, 1)
	// Records of older processes do not tell their start, and notes name VMs without it.
	last, err := parseVMRecord(entryOf(vm))
	is.NoErr(err)
	is.True(!mayClaim(last, vmRecord{VM: vm, started: start}, window))
	_, err = parseVMRecord("10.0.0.1:1")
	is.True(err != nil)
	_, err = parseVMRecord("10.0.0.1:1 a soon")
	is.True(err != nil)
}

// callLog is a store that notes the calls on the list of VMs.
type callLog struct {
	Store
	calls []string
	stop  context.CancelFunc
}

func (s *callLog) Newest(context.Context, Feed) ([]Record, uint64, error) {
	s.calls = append(s.calls, "read")
	if slices.Contains(s.calls, "write") {
		s.stop()
	}
	return nil, 0, nil
}

func (s *callLog) Announce(context.Context, string, []byte) error {
	s.calls = append(s.calls, "write")
	return nil
}

// Symptom: 23,000 requests of a day with 63 VMs were refused for their allowance, eleven
// before. Sequence: all VMs start together; each reads the list of VMs and then writes its
// own record; the list is a part, and counts as whole for a minute. Cause: the order. What
// counts as whole is read after the record was written.
func TestListOfVMsIsReadAfterTheRecordWasWritten(t *testing.T) {
	is := is.New(t)
	for _, first := range []bool{true, false} {
		set := testSettings(t, first)
		ctx, stop := context.WithCancel(context.Background())
		s := &callLog{stop: stop}
		d := New(Options{Settings: set, Log: logging.New(io.Discard), Store: s})
		is.NoErr(d.announce(ctx))
		is.Equal(s.calls[len(s.calls)-2:], []string{"write", "read"})
	}
}

func testSettings(t testing.TB, first bool) *settings.Entry {
	set, err := settings.ParseEntry(fmt.Appendf(nil, `
[vm]
name = "self"
failure_domain = "a"
first_start = %t
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[bounds]
grace = "6s"
retry_ratio = 0.2
retry_slack = 50
allowance_window = "8s"
allowance_over = 0.1
allowance_slack = 1000
`, first))
	if err != nil {
		t.Fatal(err)
	}
	return set
}
