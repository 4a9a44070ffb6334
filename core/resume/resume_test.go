package resume

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chivefield/chivefield/rendezvous"
)

// Guards against a caller that takes up the stream of another organisation, or on another route, by its ID.
func TestKeyCoversAllParts(t *testing.T) {
	is := is.New(t)
	s := Stream{Organisation: "o", Route: "r", Service: "s", Attempt: "a"}
	is.Equal(s.Key(), s.Key())
	for _, other := range []Stream{
		{Organisation: "p", Route: "r", Service: "s", Attempt: "a"}, {Organisation: "o", Route: "q", Service: "s", Attempt: "a"},
		{Organisation: "o", Route: "r", Service: "t", Attempt: "a"}, {Organisation: "o", Route: "r", Service: "s", Attempt: "b"},
		{Organisation: "or", Service: "s", Attempt: "a"},
	} {
		is.True(s.Key() != other.Key())
	}
}

// Guards against records that fill the memory: those that expire first make room, and it is counted.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range maxRecords + 10 {
		l.Begin(Record{Key: Key(i), Version: "v", Expires: time.Duration(i + 1)})
	}
	is.Equal(l.Len(), maxRecords)
	is.Equal(l.TakeForgotten(), 10)
	is.Equal(l.TakeForgotten(), 0)
	_, known := l.Version(9)
	is.True(!known)
	_, known = l.Version(10)
	is.True(known)
	l.Keep(Record{Key: maxRecords + 20, Version: "v", Expires: 1})
	is.Equal(l.Len(), maxRecords)
	_, known = l.Version(maxRecords + 20)
	is.True(!known)
	l.Expire(time.Duration(maxRecords + 10))
	is.Equal(l.Len(), 0)
}

// Guards against a stream that is taken up more than once, of which the record expires with its first attempt.
func TestRecordLivesOnWithLaterAttempts(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Begin(Record{Key: 1, Version: "v", Expires: 10})
	l.Keep(Record{Key: 1, Version: "v", Expires: 20})
	l.Begin(Record{Key: 1, Version: "v", Expires: 15})
	l.Expire(19)
	version, known := l.Version(1)
	is.True(known)
	is.Equal(version, "v")
	is.True(!l.Keep(Record{Key: 1, Version: "w", Expires: 30}))
	version, _ = l.Version(1)
	is.Equal(version, "v")
	l.Expire(20)
	is.Equal(l.Len(), 0)
}

// Records are told once, those of services that are not due later, and again after the set of VMs has changed.
func TestUntoldRecords(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 5 {
		l.Begin(Record{Key: Key(i), Service: fmt.Sprint("s", i%2), Version: "v", Expires: 10})
	}
	l.Keep(Record{Key: 9, Service: "s0", Version: "v", Expires: 10})
	first := func(service string) bool { return service == "s0" }
	any := func(string) bool { return true }
	is.Equal(len(l.TakeUntold(2, first)), 2)
	is.Equal(len(l.TakeUntold(2, first)), 1)
	is.Equal(len(l.TakeUntold(2, first)), 0)
	is.Equal(len(l.TakeUntold(9, any)), 2)
	is.Equal(len(l.TakeUntold(9, any)), 0)
	l.TellAgainIf(func(k Key) bool { return k == 3 })
	is.Equal(l.TakeUntold(9, any)[0].Key, Key(3))
	l.TellAgain()
	is.Equal(len(l.TakeUntold(9, any)), 5)
}

func listed(versions ...string) map[string]map[string]bool {
	set := make(map[string]bool)
	for _, v := range versions {
		set[v] = true
	}
	return map[string]map[string]bool{"s": set}
}

// Guards against a version that is taken for the only one while streams of another may live.
func TestSingleVersion(t *testing.T) {
	const lifetime = 10
	is := is.New(t)
	v := NewVersions()
	sure := func(now time.Duration) bool {
		_, sure := v.Single(now, "s", lifetime)
		return sure
	}
	is.True(!sure(100))
	v.Observe(100, listed("v1"))
	is.True(!sure(109))
	is.True(sure(110))
	v.Observe(120, listed("v1", "v2"))
	is.True(!sure(120))
	v.Observe(130, listed("v2"))
	is.True(!sure(139))
	is.True(sure(140))
	v.Observe(150, map[string]map[string]bool{})
	is.True(!sure(150))
	v.Observe(151, listed("v3"))
	is.True(!sure(159))
	is.True(sure(160))
	version, _ := v.Single(160, "s", lifetime)
	is.Equal(version, "v3")
}

// Guards against a process that believes the store of a version that it does not find listed, or finds beside another.
func TestVouchedVersion(t *testing.T) {
	const lifetime = 10
	is := is.New(t)
	for _, c := range []struct {
		listed []string
		sure   bool
	}{{[]string{"v1"}, true}, {[]string{"v2"}, false}, {[]string{"v1", "v2"}, false}, {nil, false}} {
		v := NewVersions()
		v.Vouch("s", "v1")
		v.Observe(100, listed(c.listed...))
		_, sure := v.Single(101, "s", lifetime)
		is.Equal(sure, c.sure)
	}
	v := NewVersions()
	v.Vouch("s", "v1")
	v.Observe(100, listed("v1"))
	v.ClearVouched()
	_, sure := v.Single(101, "s", lifetime)
	is.True(!sure)
}

func fleetOf(n, domains int) []VM {
	var vms []VM
	for i := range n {
		vms = append(vms, NewVM(fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250), fmt.Sprint("d", i%domains)))
	}
	return vms
}

// Guards against VMs that do not find a stream's record since one of them knows one VM more: those told and those
// asked have one in common, and two failure domains hold the record.
func TestKeepersOutliveOneChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 30).Draw(t, "vms")
		vms := fleetOf(n, rapid.IntRange(2, 5).Draw(t, "domains"))
		key := Key(rapid.Uint64().Draw(t, "key"))
		begins := rapid.IntRange(0, n-1).Draw(t, "begins")
		changed := rapid.IntRange(0, n-1).Draw(t, "changed")
		other := slices.Delete(slices.Clone(vms), changed, changed+1)
		for _, lists := range [][2][]VM{{vms, other}, {other, vms}, {vms, vms}} {
			told := ToTell(vms[begins].Address, Keepers(key, lists[0]))
			if len(told) != tellCount {
				t.Fatalf("%d told", len(told))
			}
			common := slices.ContainsFunc(Keepers(key, lists[1]), func(k VM) bool { return slices.Contains(told, k) || k == vms[begins] })
			if !common {
				t.Fatalf("told %v, asked %v", told, Keepers(key, lists[1]))
			}
		}
		keepers := Keepers(key, vms)
		first := heaviest(key, vms, func(VM) bool { return true })
		second := heaviest(key, vms, func(vm VM) bool { return vm.Domain != first.Domain })
		if keepers[0] != first || keepers[1] != second {
			t.Fatalf("%v, want %v and %v first", keepers, first, second)
		}
	})
}

// heaviest returns the VM of the highest weight for a key among those that accept returns true for.
func heaviest(key Key, vms []VM, accept func(VM) bool) VM {
	var best weighed
	for i := range vms {
		if w := (weighed{&vms[i], rendezvous.Weight(uint64(key), vms[i].hash)}); accept(vms[i]) && best.less(w) {
			best = w
		}
	}
	return *best.vm
}

// Guards against keepers that a few VMs are for most streams.
func TestKeepersAreSpread(t *testing.T) {
	is := is.New(t)
	const streams = 20000
	vms := fleetOf(100, 4)
	count := make(map[string]int)
	for i := range streams {
		for _, k := range Keepers(Stream{Attempt: fmt.Sprint(i)}.Key(), vms)[:tellCount] {
			count[k.Address]++
		}
	}
	is.Equal(len(count), len(vms))
	for _, n := range count {
		is.True(n < 2*streams*tellCount/len(vms))
	}
}

// A record counts for more than certainty of a single version, and nobody is waited for in vain.
func TestInquiry(t *testing.T) {
	is := is.New(t)
	unknown, single, record := Answer{}, Answer{Single: true, Version: "v1"}, Answer{HasRecord: true, Version: "v2"}
	q := NewInquiry("", false, []string{"a", "b", "c"})
	is.True(!q.Record("a", unknown))
	is.True(!q.Complete())
	is.True(!q.Record("b", unknown))
	is.True(q.Record("c", unknown))
	is.True(q.Complete())
	is.True(!q.Origin().Known())

	q = NewInquiry("", false, []string{"a", "b"})
	is.True(!q.Record("a", unknown))
	is.True(q.Record("b", record))
	is.Equal(q.Origin(), Origin{KeeperRecord, "v2"})

	q = NewInquiry("", false, []string{"a", "b"})
	is.True(q.Record("a", single))
	is.Equal(q.Origin(), Origin{KeeperSingleVersion, "v1"})

	q = NewInquiry("v1", true, []string{"a", "b"})
	is.Equal(q.Origin(), Origin{SingleVersion, "v1"})
	is.True(q.Record("a", unknown))
	is.Equal(q.Origin(), Origin{SingleVersion, "v1"})
	q = NewInquiry("v1", true, []string{"a", "b"})
	is.True(q.Record("a", record))
	is.Equal(q.Origin(), Origin{KeeperRecord, "v2"})
}

// BenchmarkKeepers measures what it takes to find the keepers of one stream.
func BenchmarkKeepers(b *testing.B) {
	for _, n := range []int{900, 1800, 3600} {
		b.Run(fmt.Sprint(n, " VMs"), func(b *testing.B) {
			vms := fleetOf(n, 13)
			for i := range b.N {
				Keepers(Key(i), vms)
			}
		})
	}
}

// BenchmarkLedger measures one record of a VM that holds 2,000.
func BenchmarkLedger(b *testing.B) {
	l := NewLedger()
	b.ReportAllocs()
	for i := range b.N {
		l.Begin(Record{Key: Key(i * 7919), Service: "s", Version: "v1.2", Expires: time.Duration(i + 2000)})
		l.Expire(time.Duration(i))
	}
}

// Guards against records, and notes on them, that grow with the deployment: each VM keeps two for each stream that a
// VM begins, however many there are.
func TestRecordsPerVMDoNotGrowWithFleet(t *testing.T) {
	is := is.New(t)
	const streamsPerVM = 50
	for _, n := range []int{100, 200} {
		vms := fleetOf(n, 5)
		kept := make(map[string]int)
		told := 0
		for i, vm := range vms {
			for k := range streamsPerVM {
				for _, keeper := range ToTell(vm.Address, Keepers(Stream{Attempt: fmt.Sprint(i, " ", k)}.Key(), vms)) {
					kept[keeper.Address]++
					told++
				}
			}
		}
		is.Equal(told, tellCount*streamsPerVM*n)
		for _, count := range kept {
			is.True(count <= 2*tellCount*streamsPerVM)
		}
	}
}

// Guards against records in the store for services that have one version, of which nobody needs any.
func TestSeveralVersions(t *testing.T) {
	is := is.New(t)
	v := NewVersions()
	several := func(now time.Duration) bool { return v.Several(now, "s", 30*time.Second) }
	is.True(!several(0))
	v.Observe(0, map[string]map[string]bool{"s": {"v1": true}})
	v.RecordGap(time.Second)
	is.True(!several(2 * time.Second)) // not sure, but no other is known
	v.Observe(3*time.Second, map[string]map[string]bool{"s": {"v1": true, "v2": true}})
	is.True(several(3 * time.Second))
	v.Observe(4*time.Second, map[string]map[string]bool{"s": {"v2": true}})
	is.True(several(33 * time.Second)) // streams of the other may live
	is.True(!several(34 * time.Second))
}
