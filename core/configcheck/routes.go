package configcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/chivefield/chivefield/core/routing"
)

const (
	// attemptsOnce is how many attempts of a request may run that must not run twice.
	attemptsOnce = 1
	// attemptsAtMost is how many endpoints one request is tried at, whatever its route says: the first
	// and six retries.
	attemptsAtMost = 7
)

func (c *checker) checkRoutes() {
	names := make(map[string]bool)
	for i, r := range c.doc.Routes {
		at := func(f Field) Place { return Place{Routes, i, f} }
		c.checkName(Place{Routes, i, Name}, r.Name, names)
		if c.checkMatch(i, r) {
			c.checkShadow(i, r)
		}
		c.checkShares(at(Shares), r)
		c.checkTimes(at, r)
		c.checkAttempts(at(MaxEndpoints), r)
		if r.Resumable && r.Kind != routing.Stream {
			c.add(Warning, at(Resumable), &ResumableError{})
		}
		if r.Tier < 0 {
			c.add(Error, at(Tier), &NegativeError{})
		}
	}
}

// checkName checks that a name is not empty and is the only one of its section.
func (c *checker) checkName(p Place, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.add(Warning, p, &EmptyError{"reports and logs cannot name it"})
	case seen[name]:
		c.add(Warning, p, &DuplicateError{"name", fmt.Sprintf("an earlier one, %q", name)})
	}
	seen[name] = true
}

// checkMatch reports whether some request can match a route's host and prefix.
func (c *checker) checkMatch(i int, r *routing.Route) bool {
	before := len(c.findings)
	switch {
	case r.Host == "":
		c.add(Error, Place{Routes, i, Host}, &EmptyError{"the route never matches"})
	case strings.Contains(r.Host, ":"):
		c.add(Error, Place{Routes, i, Host}, &HostPortError{r.Host})
	}
	if r.Prefix != "" && r.Prefix[0] != '/' || strings.ContainsAny(r.Prefix, "?#") {
		c.add(Error, Place{Routes, i, Prefix}, &PrefixError{r.Prefix})
	}
	return len(c.findings) == before
}

// checkShadow looks for another route that takes all requests of this one: with the same prefix and listed
// before it, or with the prefix / where this one has none, since all paths begin with it.
func (c *checker) checkShadow(i int, r *routing.Route) {
	for j, o := range c.doc.Routes {
		if j == i || !strings.EqualFold(o.Host, r.Host) {
			continue
		}
		if o.Prefix == r.Prefix && j < i || r.Prefix == "" && o.Prefix == "/" {
			c.add(Error, Place{Routes, i, Prefix}, &ShadowedError{routeName(o)})
			return
		}
	}
}

// routeName returns how reports name a route.
func routeName(r *routing.Route) string {
	if r.Name != "" {
		return r.Name
	}
	return r.Host + r.Prefix
}

func (c *checker) checkShares(p Place, r *routing.Route) {
	if len(r.Shares) == 0 {
		c.add(Error, p, &EmptyError{"the route has no service"})
		return
	}
	total := 0
	for _, s := range r.Shares {
		if !c.hasService(s.Service) {
			c.add(Error, p, &UnknownServiceError{s.Service})
		}
		if s.Weight < 0 {
			c.add(Error, p, &NegativeError{})
		}
		total += s.Weight
	}
	if total <= 0 {
		c.add(Warning, p, &NoWeightError{})
	}
}

func (c *checker) hasService(name string) bool {
	for _, s := range c.doc.Services {
		if s.Name == name {
			return true
		}
	}
	return false
}

func (c *checker) checkTimes(at func(Field) Place, r *routing.Route) {
	for _, t := range []struct {
		field Field
		value time.Duration
	}{{Timeout, r.Timeout}, {Objective, r.Objective}, {MaxPause, r.MaxPause}} {
		if t.value < 0 {
			c.add(Error, at(t.field), &NegativeError{})
			return
		}
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		c.add(Error, at(Timeout), &BelowError{r.Timeout, "objective", r.Objective})
	}
	if r.Timeout > 0 && r.MaxPause > r.Timeout {
		c.add(Error, at(MaxPause), &AboveError{r.MaxPause, "timeout", r.Timeout})
	}
}

func (c *checker) checkAttempts(p Place, r *routing.Route) {
	usable := attemptsAtMost
	if !r.Retryable() {
		usable = attemptsOnce
	}
	if r.MaxEndpoints > usable {
		c.add(Warning, p, &AttemptsError{r.MaxEndpoints, usable})
	}
}
