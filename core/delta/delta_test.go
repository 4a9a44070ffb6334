package delta

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// element returns the i-th element of a list in a document.
func element(i int) string {
	r := rand.New(rand.NewPCG(uint64(i), 7))
	return fmt.Sprintf(`{"name":"r-%x","host":"app.example","path-prefix":"/%x/","kind":"idempotent","timeout-ms":5000,"target-latency-ms":300,"priority":1,"service":"plain","max-attempts":2,"public":false},`, r.Uint64(), r.Uint32())
}

func document(version, elements int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range elements {
		b.WriteString(element(i))
	}
	b.WriteString("]}")
	return b.Bytes()
}

func size(ops []Op) (n int) {
	for _, op := range ops {
		n += 8 + len(op.Literal)
	}
	return n
}

// Whatever two documents are, the difference makes the second out of the first.
func TestDiffMakesTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte{}
		for range rapid.IntRange(0, 30).Draw(t, "parts") {
			base = append(base, element(rapid.IntRange(0, 9).Draw(t, "element"))...)
		}
		next := slices.Clone(base)
		for range rapid.IntRange(0, 6).Draw(t, "edits") {
			at := rapid.IntRange(0, len(next)).Draw(t, "at")
			end := min(len(next), at+rapid.IntRange(0, 900).Draw(t, "removed"))
			next = slices.Replace(next, at, end, rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "inserted")...)
		}
		got, err := Apply(base, NewIndex(base).Diff(next), len(next))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, next) {
			t.Fatal("the difference makes another document")
		}
	})
}

// A change costs what changed, not the size of the document: at twice the size it costs the same.
func TestSmallChangeCostsTheSameInLargerDocuments(t *testing.T) {
	is := is.New(t)
	for _, elements := range []int{700, 1400, 2800} {
		base := document(1, elements)
		next := bytes.Replace(document(2, elements), []byte(element(elements/2)), []byte(element(elements+1)), 1)
		is.True(size(NewIndex(base).Diff(next)) < 4*maxChunk)
		appended := document(2, elements+10)
		is.True(size(NewIndex(base).Diff(appended)) < 4*maxChunk+10*len(element(0)))
	}
}

// Guards against a crash, or memory without a bound, by a difference that does not fit its base.
func TestApplyRefusesOpsOutsideTheBase(t *testing.T) {
	is := is.New(t)
	for _, op := range []Op{{From: -1, Length: 1}, {From: 0, Length: 11}, {From: 11, Length: 0}, {From: 5, Length: -1}, {From: 1, Length: int(^uint(0) >> 1)}, {Length: 6}, {Literal: make([]byte, 6)}} {
		_, err := Apply(make([]byte, 10), []Op{op}, 5)
		var out *RangeError
		is.True(errors.As(err, &out))
	}
}

// BenchmarkDiff measures a document of the target's size, 1.27 MB, of which a route changed.
func BenchmarkDiff(b *testing.B) {
	base, next := document(1, 6300), document(2, 6301)
	b.SetBytes(int64(len(next)))
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(base).Diff(next)
	}
}
