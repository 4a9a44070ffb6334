package routing

import (
	"testing"

	"github.com/matryer/is"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	table := NewTable(&Document{Routes: []*Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	name := func(host, path string) string {
		r := table.Route(host, path)
		if r == nil {
			return ""
		}
		return r.Name
	}
	is.Equal(name("a.example", "/x/y/z"), "deep")
	is.Equal(name("A.Example:8080", "/x/yz"), "short")
	is.Equal(name("a.example", "/x"), "all")
	is.Equal(name("b.example", "/x/1"), "other")
	is.Equal(name("b.example", "/"), "")
	is.Equal(name("c.example", "/x/"), "")
}

func TestSharesByWeight(t *testing.T) {
	is := is.New(t)
	r := &Route{Shares: []Share{{"a", 9}, {"b", 1}, {"none", 0}}}
	got := map[string]int{}
	for hash := range uint64(1000) {
		got[r.PickService(hash)]++
	}
	is.Equal(got, map[string]int{"a": 900, "b": 100})
}

func TestRetryable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Retryable())
	is.True(!(&Route{Kind: NonIdempotent, Resumable: true}).Retryable())
	is.True(!(&Route{Kind: Stream}).Retryable())
	is.True((&Route{Kind: Stream, Resumable: true}).Retryable())
}
