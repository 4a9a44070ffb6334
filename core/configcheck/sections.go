package configcheck

import (
	"fmt"

	"github.com/chivefield/chivefield/core/routing"
)

func (c *checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range c.doc.Routes {
		for _, s := range r.Shares {
			used[s.Service] = true
		}
	}
	seen := make(map[string]bool)
	for i, s := range c.doc.Services {
		name := Place{Services, i, Name}
		switch {
		case s.Name == "":
			c.add(Error, name, &EmptyError{"no route can name the service"})
		case seen[s.Name]:
			c.add(Error, name, &DuplicateError{"name", fmt.Sprintf("an earlier service, %q", s.Name)})
		case !used[s.Name]:
			c.add(Warning, name, &UnusedError{})
		}
		seen[s.Name] = true
		if s.MaxConnections < 0 {
			c.add(Error, Place{Services, i, MaxConnections}, &NegativeError{})
		}
	}
}

func (c *checker) checkOrganisations() {
	names, owners := make(map[string]bool), make(map[string]string)
	for i, o := range c.doc.Organisations {
		at := func(f Field) Place { return Place{Organisations, i, f} }
		c.checkName(at(Name), o.Name, names)
		c.checkKeys(at(Keys), o, owners)
		c.checkAllowance(at, o)
		if o.Tier < 0 {
			c.add(Error, at(Tier), &NegativeError{})
		}
	}
}

// checkKeys checks an organisation's keys. They are secret, so findings tell their number only.
func (c *checker) checkKeys(p Place, o *routing.Organisation, owners map[string]string) {
	if len(o.Keys) == 0 {
		c.add(Warning, p, &EmptyError{"nobody can send requests for the organisation"})
	}
	for n, k := range o.Keys {
		if k == "" {
			c.add(Error, p, &EmptyError{fmt.Sprintf("key %d admits requests without a key", n+1)})
		}
		if owner, ok := owners[k]; ok {
			c.add(Error, p, &DuplicateError{fmt.Sprintf("key, number %d,", n+1), fmt.Sprintf("organisation %q", owner)})
			continue
		}
		owners[k] = o.Name
	}
}

// checkAllowance checks that an allowance reaches for a request. One of tokens reaches for a request without
// token counts.
func (c *checker) checkAllowance(at func(Field) Place, o *routing.Organisation) {
	if o.Rate < 0 || o.Burst < 0 {
		field := Rate
		if o.Rate >= 0 {
			field = Burst
		}
		c.add(Error, at(field), &NegativeError{})
		return
	}
	if o.Rate == 0 {
		return
	}
	request := 1.0
	if o.CountsTokens {
		request = o.PlainTokens
	}
	if o.Burst < request {
		c.add(Error, at(Burst), &AllowanceError{o.Burst, request})
	}
	if o.Rate < request {
		c.add(Warning, at(Rate), &AllowanceError{o.Rate, request})
	}
}

func (c *checker) checkLimits() {
	l := c.doc.Limits
	for _, v := range []struct {
		field Field
		value int64
	}{
		{MaxHeaderBytes, int64(l.MaxHeaderBytes)}, {MaxBodyBytes, int64(l.MaxBodyBytes)},
		{HeaderTimeout, int64(l.HeaderTimeout)}, {IdleTimeout, int64(l.IdleTimeout)},
	} {
		if v.value < 0 {
			c.add(Error, Place{Limits, 0, v.field}, &NegativeError{})
		}
	}
	if l.MaxBodyBytes == 0 {
		c.add(Error, Place{Limits, 0, MaxBodyBytes}, &UnlimitedError{})
	}
}
