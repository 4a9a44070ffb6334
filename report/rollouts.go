package report

import (
	"slices"
	"strings"
	"time"

	"github.com/chivefield/chivefield/explain"
)

// RolloutStep is one step in the rollout of a service version, as logged by the VM that took it.
type RolloutStep struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Service string    `json:"service"`
	Version string    `json:"version"`
	// Event is the name of the log event without its prefix. Detail holds the other fields of
	// the line, which give the cause.
	Event  string `json:"event"`
	Detail string `json:"detail"`
}

// rolloutEventPrefix is the common prefix of the names of rollout events.
const rolloutEventPrefix = "rollout_"

// addRolloutStep records a rollout step. Steps that a VM received from another VM are left out, since
// every VM receives each step.
func (b *builder) addRolloutStep(l *explain.Line) {
	if l.Get("learned") == "told" || l.Get("told") == "true" {
		return
	}
	var detail []string
	for _, f := range l.Fields {
		if f.Key != "service" && f.Key != "version" && f.Key != "learned" && f.Key != "told" {
			detail = append(detail, f.Key+"="+f.Value)
		}
	}
	b.rollouts = append(b.rollouts, RolloutStep{
		At: l.At, VM: l.VM, Service: l.Get("service"), Version: l.Get("version"),
		Event: strings.TrimPrefix(l.Event, rolloutEventPrefix), Detail: strings.Join(detail, " "),
	})
}

// sortedRollouts returns the rollout steps in order of time.
func (b *builder) sortedRollouts() []RolloutStep {
	slices.SortStableFunc(b.rollouts, func(x, y RolloutStep) int { return x.At.Compare(y.At) })
	return b.rollouts
}
