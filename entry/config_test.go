package entry

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

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
