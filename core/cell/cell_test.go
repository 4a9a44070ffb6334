package cell

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func deployment(n, domains int) []VM {
	var vms []VM
	for i := range n {
		vms = append(vms, VM{Address: fmt.Sprintf("10.0.0.%d:7600", i), Domain: fmt.Sprint(i % domains), Share: 0.4})
	}
	return vms
}

// A small deployment is one cell over all failure domains, a large one has cells of
// bounded size within each.
func TestCells(t *testing.T) {
	for _, c := range []struct{ vms, domains, placers int }{{8, 4, 1}, {66, 4, 4}, {300, 4, 16}, {1800, 13, 78}} {
		is := is.New(t)
		vms := deployment(c.vms, c.domains)
		members := make(map[string]int)
		domain := make(map[string]string)
		for _, v := range vms {
			domain[v.Address] = v.Domain
		}
		for _, v := range vms {
			p := Placer(v, vms)
			members[p]++
			if c.vms > wholeDeployment {
				is.Equal(domain[p], v.Domain)
			}
		}
		is.Equal(len(members), c.placers)
		for _, n := range members {
			is.True(n < 2*cellSize)
		}
	}
}

// Symptom: requests waited long for decisions. Sequence: the VMs differ fourfold in
// processor time and the least of them places for all. The largest place.
func TestLargestPlaces(t *testing.T) {
	is := is.New(t)
	vms := deployment(16, 4)
	vms[5].Share = 0.8
	for _, v := range vms {
		is.Equal(Placer(v, vms), vms[5].Address)
	}
}

// When the placer is no longer heard, all agree on the next; nobody willing leaves
// each to itself.
func TestNextPlacer(t *testing.T) {
	is := is.New(t)
	vms := deployment(8, 4)
	first := Placer(vms[0], vms)
	var left []VM
	for _, v := range vms {
		if v.Address != first {
			left = append(left, v)
		}
	}
	next := Placer(vms[0], left)
	is.True(next != first)
	for _, v := range vms {
		is.Equal(Placer(v, left), next)
	}
	is.Equal(Placer(vms[0], nil), "")
}
