// Package resume keeps streams that their callers resume at the software version that began them.
// It performs no I/O: what was seen and the current time are passed in.
//
// A caller that resumes a stream names the attempt that brought its first event. The VM that it
// reaches may never have seen that stream, and the VM that served it may be gone. Two things tell
// the version all the same:
//
//   - A Ledger holds which version began which stream. The VM that begins a stream tells its keepers,
//     which every VM computes from the stream's key.
//   - Versions tells whether a service has had a single version for as long as a stream may live.
//     Then nothing needs to be told.
//
// A stream of which neither is known is not resumed: a guess would join what two versions wrote.
package resume
