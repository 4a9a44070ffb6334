package schema

import "time"

// MaxDuration limits durations received from other VMs; longer ones would overflow.
const MaxDuration = 365 * 24 * time.Hour

// Duration decodes a duration in ms, limited to MaxDuration.
func Duration(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(MaxDuration.Milliseconds()))) * time.Millisecond
}
