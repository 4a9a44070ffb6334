package resume

// Source tells how the version that began a stream is known.
type Source int

// Sources, from the strongest.
const (
	// Unknown: no VM that was asked knows.
	Unknown Source = iota
	// OwnRecord: this VM holds the stream's record.
	OwnRecord
	// KeeperRecord: a keeper holds it.
	KeeperRecord
	// SingleVersion: this VM is sure that the service has had one version.
	SingleVersion
	// KeeperSingleVersion: a keeper is.
	KeeperSingleVersion
)

var sourceNames = [...]string{"unknown", "own_record", "keeper_record", "single_version", "keeper_single_version"}

// String returns the source's name in logs.
func (s Source) String() string { return sourceNames[s] }

// Origin is what is known of the beginning of a stream. Version is valid unless the source is Unknown.
type Origin struct {
	Source  Source
	Version string
}

// Known reports whether the version that began the stream is known.
func (o Origin) Known() bool { return o.Source != Unknown }

// Answer is what a keeper knows of a stream.
type Answer struct {
	// HasRecord is set if it holds the stream's record, Single if it holds none and is sure that the service
	// has had one version. Version is valid if either is set.
	HasRecord, Single bool
	Version           string
}

// Inquiry asks the keepers of a stream. A record of the stream itself counts for more than certainty of a single
// version: the version may be so new that the VM which is sure of another has not seen it listed.
type Inquiry struct {
	// own is known without the keepers.
	own     Origin
	found   Origin
	waiting map[string]bool
}

// NewInquiry returns an inquiry that waits for the given keepers. single is the only version that can have
// begun the stream, if this VM is sure of one.
func NewInquiry(single string, sure bool, keepers []string) *Inquiry {
	q := &Inquiry{waiting: make(map[string]bool, len(keepers))}
	if sure {
		q.own = Origin{Source: SingleVersion, Version: single}
	}
	for _, k := range keepers {
		q.waiting[k] = true
	}
	return q
}

// Waiting reports whether a keeper has not answered.
func (q *Inquiry) Waiting(keeper string) bool { return q.waiting[keeper] }

// Complete reports whether all keepers have answered.
func (q *Inquiry) Complete() bool { return len(q.waiting) == 0 }

// Record adds a keeper's answer and reports whether no more are needed.
func (q *Inquiry) Record(keeper string, a Answer) (done bool) {
	delete(q.waiting, keeper)
	switch {
	case a.HasRecord:
		q.found = Origin{Source: KeeperRecord, Version: a.Version}
		return true
	case q.own.Known():
		// This VM is as sure as the keeper could be.
		return true
	case a.Single:
		q.found = Origin{Source: KeeperSingleVersion, Version: a.Version}
		return true
	}
	return q.Complete()
}

// Origin returns what is known from the answers so far.
func (q *Inquiry) Origin() Origin {
	if q.found.Known() {
		return q.found
	}
	return q.own
}
