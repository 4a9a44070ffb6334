package report

import (
	"slices"
	"strings"
	"time"

	"github.com/chivefield/chivefield/explain"
)

// RolloutStep is one step in the move of a service to another version, as a VM took it.
type RolloutStep struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Service string    `json:"service"`
	Version string    `json:"version"`
	// Event says what was done, Detail why: the fields of the line.
	Event  string `json:"event"`
	Detail string `json:"detail"`
}

// rolloutEventPrefix begin the names of such steps.
const rolloutEventPrefix = "rollout_"

// addRolloutStep takes in a step of a roll-out. What a VM was told by others is left out: each of them
// hears of each step.
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

// sortedRollouts are the steps in order of time.
func (b *builder) sortedRollouts() []RolloutStep {
	slices.SortStableFunc(b.rollouts, func(x, y RolloutStep) int { return x.At.Compare(y.At) })
	return b.rollouts
}
