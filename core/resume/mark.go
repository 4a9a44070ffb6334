package resume

// Mark is the record of a service in the store: as of a position in the registry's log, only one version can have
// begun a stream that lives. It outlives its truth, since its removal may be late or lost and a write of it may take
// effect after its removal. So a VM believes it only if the log from that position on shows no other version: a
// version is used only after it was listed.
type Mark struct {
	Version string
	// Era and Offset are the position in the registry's log.
	Era, Offset uint64
}

// Contradicts reports whether an entry of the service in the log refutes the mark.
func (m Mark) Contradicts(offset uint64, version string) bool {
	return offset >= m.Offset && version != m.Version
}
