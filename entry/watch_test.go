package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/allowance"
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
