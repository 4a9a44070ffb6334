package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/catchup"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/schema"
)

// configRecord returns a record of a version with a number of routes.
func configRecord(version, routes int) *Record {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%x","path-prefix":"/%x/","timeout-ms":5000},`, i*2654435761, i*40503)
	}
	b.WriteString("]}")
	return &Record{Key: "config", Value: b.Bytes()}
}

// reply returns the reply that updates a base to the current record of a history.
func (h *configHistory) reply(t *testing.T, base checksum) *schema.ConfigReply {
	t.Helper()
	packed, err := h.update(base)
	if err != nil {
		t.Fatal(err)
	}
	return &schema.ConfigReply{Packed: packed, Checksum: h.sum[:], Version: h.version}
}

// A change costs a VM that has one of the last versions a fraction of the record, any other VM the
// whole of it.
func TestUpdateCostsWhatChanged(t *testing.T) {
	is := is.New(t)
	var h configHistory
	var sums []checksum
	var records []*Record
	for v := range maxBases + 3 {
		r := configRecord(v+1, 1000+10*v)
		h.add(r, uint64(v+1))
		sums, records = append(sums, h.sum), append(records, r)
	}
	last := len(records) - 1
	whole := h.reply(t, checksum{})
	for i, sum := range sums {
		reply := h.reply(t, sum)
		known := i > last-maxBases
		is.Equal(len(reply.Packed) < len(whole.Packed)/3, known)
		got, err := applyUpdate(records[i], reply)
		is.NoErr(err)
		is.Equal(got, records[last])
	}
}

// Guards against a mixture of versions: an update that is applied to another base than it was made for.
func TestUpdateToAnotherBaseIsRefused(t *testing.T) {
	is := is.New(t)
	var h configHistory
	h.add(configRecord(1, 500), 1)
	base := h.sum
	h.add(configRecord(2, 510), 2)
	_, err := applyUpdate(configRecord(1, 505), h.reply(t, base))
	var sum *ChecksumError
	is.True(errors.As(err, &sum))
	_, err = applyUpdate(nil, h.reply(t, base))
	is.True(err != nil)
	_, err = applyUpdate(nil, &schema.ConfigReply{Packed: []byte("no update")})
	is.True(err != nil)
}

// VMs of an older build name no address, take whole records only and do not wait.
func TestOlderVMGetsWholeRecord(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	d.table.Store(routing.NewTable(&routing.Document{Version: 2}))
	s := &relayServer{d}
	reply, err := s.Config(t.Context(), &schema.ConfigRequest{})
	is.NoErr(err)
	is.Equal(reply.Record, nil) // the record is not kept yet
	r := configRecord(2, 5)
	d.configSource.setCurrent(r, 2)
	reply, err = s.Config(t.Context(), &schema.ConfigRequest{})
	is.NoErr(err)
	is.Equal(reply.Record.Value, r.Value)
}

// Requests wait for each other at a holder, and those that wait too long are refused with the names of
// VMs that were served.
func TestHolderServesOneVMAtATime(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	d.settings.Limits.LinkMbps = 0.001 // A transfer takes far longer than a request may wait.
	d.table.Store(routing.NewTable(&routing.Document{Version: 2}))
	d.configSource.setCurrent(configRecord(2, 500), 2)
	s := &relayServer{d}
	first, err := s.Config(t.Context(), &schema.ConfigRequest{Asker: "10.0.0.1:1"})
	is.NoErr(err)
	got, err := applyUpdate(nil, first)
	is.NoErr(err)
	is.Equal(got, configRecord(2, 500))
	start := time.Now()
	second, err := s.Config(t.Context(), &schema.ConfigRequest{Asker: "10.0.0.2:1"})
	is.NoErr(err)
	is.Equal(len(second.Packed), 0)
	is.Equal(second.Version, uint64(2))
	is.True(time.Since(start) >= catchup.MaxHold)
	handedOn := make(chan *schema.ConfigReply, 1)
	go func() {
		reply, _ := s.Config(context.Background(), &schema.ConfigRequest{Asker: "10.0.0.3:1"})
		handedOn <- reply
	}()
	time.Sleep(50 * time.Millisecond)
	d.configSource.done(2, "10.0.0.1:1", true)
	is.True(len((<-handedOn).Packed) > 0)
}

// Guards against an update that is refused, or a data race, since a newer version came while the reply was sent.
func TestReplyOutlivesItsVersion(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	d.configSource.setCurrent(configRecord(2, 50), 2)
	reply, err := d.configSource.update(&schema.ConfigRequest{})
	is.NoErr(err)
	d.configSource.setCurrent(configRecord(3, 60), 3)
	got, err := applyUpdate(nil, reply)
	is.NoErr(err)
	is.Equal(got, configRecord(2, 50))
}
