package entry

import (
	"fmt"
	"strconv"
	"strings"
)

// RejectedError reports an endpoint that did not run a request.
type RejectedError struct{ Status int }

// Error describes the failure.
func (e *RejectedError) Error() string {
	return "the endpoint did not run the request, status " + itoa(e.Status)
}

// UntrustedResponseError reports an answer that cannot be the endpoint's own whole
// answer, or promises what it cannot know.
type UntrustedResponseError struct{ Status int }

// Error describes the failure.
func (e *UntrustedResponseError) Error() string {
	return "the answer cannot be passed on, status " + itoa(e.Status)
}

// FailedResponseError reports an endpoint's own failure that is tried elsewhere.
type FailedResponseError struct{ Status int }

// Error describes the failure.
func (e *FailedResponseError) Error() string { return "the endpoint failed, status " + itoa(e.Status) }

// RetryBudgetError reports a request that was not sent once more: it waited until what paid for that
// had expired.
type RetryBudgetError struct{ Service string }

// Error describes the failure.
func (e *RetryBudgetError) Error() string { return "no repeat of " + e.Service + " is left" }

func itoa(n int) string { return strconv.Itoa(n) }

// splitList splits a header's list.
func splitList(v string) []string {
	var list []string
	for _, s := range strings.Split(v, ",") {
		if s = strings.TrimSpace(s); s != "" {
			list = append(list, s)
		}
	}
	return list
}

// NoSourceError reports that no VM could tell the registry of endpoints as of an offset.
type NoSourceError struct {
	Address string
	At      Position
}

// Error describes the failure.
func (e *NoSourceError) Error() string {
	if e.Address != "" {
		return "VM " + e.Address + " does not tell the registry"
	}
	return fmt.Sprintf("no VM knows the registry up to offset %d of era %d", e.At.Offset, e.At.Era)
}

// VMRecordError reports a record of a VM that cannot be understood.
type VMRecordError struct{ Record string }

// Error describes the failure.
func (e *VMRecordError) Error() string { return "record of a VM: " + strconv.Quote(e.Record) }
