package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/chivefield/chivefield/logging"
)

// Guards against requests of other VMs that are cut off because the VM that carries their connections shuts down.
func TestShutdownWaitsForCarriedConnections(t *testing.T) {
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard)})
	d.settings.GracePeriod = 6 * time.Second
	d.carrier.carried.Store(1)
	signal, send := context.WithCancel(t.Context())
	send()
	stopped := make(chan time.Duration, 1)
	begin := time.Now()
	if err := d.stopping.run(signal, t.Context(), &http.Server{}, func() { stopped <- time.Since(begin) }); err != nil {
		t.Fatal(err)
	}
	if took := <-stopped; took < 5*time.Second {
		t.Errorf("carried connection cut %v after the signal, grace %v", took, d.settings.GracePeriod)
	}
}
