package suspect

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Each part of the identity changes the digest, and no two parts can be confused.
func TestDigest(t *testing.T) {
	is := is.New(t)
	base := Identity{Organisation: "org", Method: "POST", Host: "app", Target: "/a/b", Body: []byte("text")}
	is.Equal(base.Digest(), base.Digest())
	others := []Identity{
		{Organisation: "other", Method: "POST", Host: "app", Target: "/a/b", Body: []byte("text")},
		{Organisation: "org", Method: "PUT", Host: "app", Target: "/a/b", Body: []byte("text")},
		{Organisation: "org", Method: "POST", Host: "app2", Target: "/a/b", Body: []byte("text")},
		{Organisation: "org", Method: "POST", Host: "app", Target: "/a/b?c", Body: []byte("text")},
		{Organisation: "org", Method: "POST", Host: "app", Target: "/a/b", Body: []byte("texts")},
		{Organisation: "orgP", Method: "OST", Host: "app", Target: "/a/b", Body: []byte("text")},
		{Organisation: "org", Method: "POST", Host: "app", Target: "/a/btext"},
	}
	for _, o := range others {
		is.True(o.Digest() != base.Digest())
	}
	got, err := ParseDigest(base.Digest().String())
	is.NoErr(err)
	is.Equal(got, base.Digest())
	for _, bad := range []string{"", "00", "zz", base.Digest().String() + "00"} {
		_, err := ParseDigest(bad)
		is.True(err != nil)
	}
}

// BenchmarkDigest measures hashing a request with no body, with bodies of usual sizes and with
// one of 1 MB.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{0, 830, 12000, 1 << 20} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			i := Identity{Organisation: "org", Method: "POST", Host: "app", Target: "/a/b", Body: make([]byte, n)}
			b.ReportAllocs()
			for b.Loop() {
				_ = i.Digest()
			}
		})
	}
}
