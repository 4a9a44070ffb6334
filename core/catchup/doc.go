// Package catchup decides how the VMs of a deployment pass on a new version of a document that all
// of them need soon. It performs no I/O.
//
// One VM of each failure domain reads the store. A VM that has a version announces it, and those
// that hear of it ask a holder for it: the number of holders grows exponentially, whatever VMs are
// gone, and no VM sends more than a few copies at a time. A holder that is busy names VMs that it has
// served. Links between failure domains carry few copies: a VM asks a holder elsewhere only if its
// own failure domain has none, the first by rank before the others.
//
// A Tracker decides for a VM that needs a version whom it asks, a Source for a VM that has one whom
// it serves.
package catchup
