package resume

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The search plays VMs that read a registry late, are cut from each other and from the store, and start anew, with
// versions that come and go. Times are in units; a version is used once it has been listed for searchSettle, which is how
// long a VM takes its copy of the registry for up to date.
const (
	searchLifetime = 20
	searchSettle   = 4
	searchVersions = 2
	// searchLinger is how long endpoints live at most that are no longer listed, unless they are cut from the
	// store; a VM that is not cut is never behind by more.
	searchLinger = 6
)

// searchVM is one VM of the search.
type searchVM struct {
	vm       VM
	ledger   *Ledger
	versions *Versions
	// listed is its copy of the registry, with the time since which it has listed each version. confirmed is
	// when it was last up to date.
	listed    map[string]time.Duration
	confirmed time.Duration
	cut       bool
}

type searchStream struct {
	key     Key
	version string
	begun   time.Duration
}

// search is the state of one play.
type search struct {
	t   *rapid.T
	now time.Duration
	vms []*searchVM
	all []VM
	// registry holds the listed versions with the time since which they are; log has the version of each
	// entry that was written to it.
	registry map[string]time.Duration
	log      []string
	// delisted is when the others were last listed.
	delisted map[string]time.Duration
	// mark is the store's record, nil if there is none; lateMarks are writes of it that have not taken effect.
	mark      *Mark
	lateMarks []Mark
	streams   []searchStream
}

func newSearch(t *rapid.T) *search {
	s := &search{t: t, now: 100, registry: map[string]time.Duration{"v0": 0}, log: []string{"v0"}, delisted: make(map[string]time.Duration), all: fleetOf(rapid.IntRange(2, 4).Draw(t, "vms"), 3)}
	for _, vm := range s.all {
		v := &searchVM{vm: vm}
		s.restart(v)
		s.vms = append(s.vms, v)
	}
	return s
}

// restart starts a VM anew; it reads the registry and the mark at once unless it is cut.
func (s *search) restart(v *searchVM) {
	v.ledger, v.versions, v.listed, v.confirmed = NewLedger(), NewVersions(), nil, 0
	if !v.cut {
		if s.mark != nil && !s.refuted(*s.mark) {
			v.versions.Vouch("s", s.mark.Version)
		}
		s.confirm(v)
	}
}

// refuted reports whether the log shows another version than a mark names.
func (s *search) refuted(m Mark) bool {
	for i, version := range s.log {
		if m.Contradicts(uint64(i), version) {
			return true
		}
	}
	return false
}

// writeMark writes the mark, which may take effect late.
func (s *search) writeMark(version string) {
	m := Mark{Version: version, Offset: uint64(len(s.log))}
	if rapid.Bool().Draw(s.t, "late mark") {
		s.lateMarks = append(s.lateMarks, m)
		return
	}
	s.mark = &m
}

// confirm has a VM read the registry, and write or remove the mark if that is due.
func (s *search) confirm(v *searchVM) {
	if v.cut {
		return
	}
	listed := make(map[string]time.Duration)
	versions := make(map[string]bool)
	for version, since := range s.registry {
		seen, known := v.listed[version]
		if !known {
			seen = s.now
			if v.listed == nil {
				// The first read: it has been listed for as long as the registry says.
				seen = since
			}
		}
		listed[version], versions[version] = seen, true
	}
	v.listed, v.confirmed = listed, s.now
	v.versions.Observe(s.now, map[string]map[string]bool{"s": versions})
	switch version, sure := s.single(v); {
	case sure:
		s.writeMark(version)
	case s.mark != nil && !v.versions.ListsOnly("s", s.mark.Version) && !rapid.Bool().Draw(s.t, "removal lost"):
		s.mark = nil
	}
}

func (s *search) single(v *searchVM) (string, bool) {
	if v.confirmed == 0 || s.now-v.confirmed >= searchSettle {
		return "", false
	}
	return v.versions.Single(s.now, "s", searchLifetime+searchLinger)
}

// reaches reports whether a message from one VM to another arrives.
func (s *search) reaches(a, b *searchVM) bool {
	return a.cut == b.cut && !rapid.Bool().Draw(s.t, "lost")
}

func (s *search) vmAt(address string) *searchVM {
	for _, v := range s.vms {
		if v.vm.Address == address {
			return v
		}
	}
	return nil
}

func (s *search) tell(v *searchVM, r Record) {
	v.ledger.MarkTold(r.Key)
	for _, k := range ToTell(v.vm.Address, Keepers(r.Key, s.all)) {
		if to := s.vmAt(k.Address); s.reaches(v, to) {
			to.ledger.Keep(r)
		}
	}
}

// begin begins a stream at a VM, at a version that it uses.
func (s *search) begin(v *searchVM) {
	version := fmt.Sprint("v", rapid.IntRange(0, searchVersions-1).Draw(s.t, "version"))
	since, listed := v.listed[version]
	if !listed || s.now-since < searchSettle || !v.cut && s.now-v.confirmed > searchLinger {
		return
	}
	if at, gone := s.delisted[version]; gone && !v.cut && s.now-at > searchLinger {
		return
	}
	stream := searchStream{Stream{Attempt: fmt.Sprint(len(s.streams))}.Key(), version, s.now}
	s.streams = append(s.streams, stream)
	r := Record{Key: stream.key, Service: "s", Version: version, Expires: s.now + searchLifetime}
	v.ledger.Begin(r)
	if _, sure := s.single(v); !sure {
		s.tell(v, r)
	}
}

// resume resumes a stream at a VM, which must not take it for another version's.
func (s *search) resume(v *searchVM, stream searchStream) {
	if s.now-stream.begun >= searchLifetime {
		return
	}
	single, sure := s.single(v)
	version, known := v.ledger.Version(stream.key)
	if !known {
		var keepers []string
		for _, k := range Keepers(stream.key, s.all) {
			if k.Address != v.vm.Address {
				keepers = append(keepers, k.Address)
			}
		}
		q := NewInquiry(single, sure, keepers)
		for _, address := range keepers {
			k := s.vmAt(address)
			if !s.reaches(v, k) {
				continue
			}
			a := Answer{}
			if a.Version, a.HasRecord = k.ledger.Version(stream.key); !a.HasRecord {
				a.Version, a.Single = s.single(k)
			}
			if q.Record(address, a) {
				break
			}
		}
		o := q.Origin()
		version, known = o.Version, o.Known()
	}
	if known && version != stream.version {
		s.t.Fatalf("stream of %s, begun at %d, taken for one of %s at %d", stream.version, stream.begun, version, s.now)
	}
}

// recordTouch records at all VMs whether others are cut from them, and whether they are behind.
func (s *search) recordTouch() {
	for _, v := range s.vms {
		if v.confirmed > 0 && s.now-v.confirmed >= searchSettle {
			v.versions.RecordGap(s.now)
		}
		for _, other := range s.vms {
			if other.cut != v.cut {
				v.versions.RecordOutOfTouch(s.now)
			}
		}
	}
}

// step does one random action.
func (s *search) step() {
	s.recordTouch()
	v := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(s.t, "vm")]
	version := fmt.Sprint("v", rapid.IntRange(0, searchVersions-1).Draw(s.t, "changed"))
	switch rapid.IntRange(0, 16).Draw(s.t, "action") {
	case 0, 1, 2:
		s.now += time.Duration(rapid.IntRange(1, searchSettle).Draw(s.t, "time"))
		v.ledger.Expire(s.now)
	case 3, 4:
		for _, v := range s.vms {
			if v == s.vms[0] || !rapid.Bool().Draw(s.t, "late") {
				s.confirm(v)
			}
		}
	case 5:
		if _, listed := s.registry[version]; !listed {
			s.registry[version] = s.now
			s.log = append(s.log, version)
			delete(s.delisted, version)
		}
	case 6:
		if _, listed := s.registry[version]; listed {
			s.delisted[version] = s.now
			delete(s.registry, version)
		}
	case 7:
		v.cut = !v.cut
	case 8:
		s.restart(v)
	case 9:
		_, sure := s.single(v)
		for _, r := range v.ledger.TakeUntold(2, func(string) bool { return !sure }) {
			s.tell(v, r)
		}
	case 10:
		s.begin(v)
	case 11:
		if len(s.lateMarks) > 0 {
			s.mark, s.lateMarks = &s.lateMarks[0], s.lateMarks[1:]
		}
	case 12:
		for _, v := range s.vms {
			s.restart(v)
		}
	default:
		if len(s.streams) > 0 {
			s.resume(v, s.streams[len(s.streams)-1-rapid.IntRange(0, min(3, len(s.streams)-1)).Draw(s.t, "stream")])
		}
	}
}

// However late VMs read the registry, whatever is lost, cut and started anew: a stream is never taken for one of another
// version.
func TestNoStreamChangesItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSearch(t)
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			s.step()
		}
	})
}
