package directory

import (
	"time"
)

// Configuration is one version of the operator's configuration as it is written, including
// routes and services that do not take effect.
type Configuration struct {
	Version     uint64
	IdleTimeout time.Duration
	Routes      []WrittenRoute
	Services    []WrittenService
	// Warnings are the limits that do not take effect as written.
	Warnings []error
}

// WrittenRoute is a route as it is written.
type WrittenRoute struct {
	Name string
	// Route is the route that takes effect unless Err is set.
	Route Route
	// Err is why the route is invalid and is ignored; nil if it is valid.
	Err error
	// Service and Split are as written. Shares with a weight of zero are only in Split.
	Service string
	Split   []Share
	// Warnings are the values that do not take effect as written.
	Warnings []error
	// Fields are all fields by their names, as JSON, including those that do not concern new
	// flows.
	Fields map[string]string
}

// WrittenService is the statement about one service as it is written.
type WrittenService struct {
	Name string
	Cold Cold
	// Err is why the statement is invalid and is ignored; nil if it is valid.
	Err error
	// Warnings and Fields are as in WrittenRoute.
	Warnings []error
	Fields   map[string]string
}

// Table returns the table of the valid routes and services, and the errors of the others.
func (c Configuration) Table() (Table, []error) {
	var errs []error
	routes := make([]Route, 0, len(c.Routes))
	for _, r := range c.Routes {
		if r.Err != nil {
			errs = append(errs, r.Err)
			continue
		}
		routes = append(routes, r.Route)
	}
	cold := make(map[string]Cold)
	for _, s := range c.Services {
		if s.Err != nil {
			errs = append(errs, s.Err)
			continue
		}
		cold[s.Name] = s.Cold
	}
	return New(c.Version, c.IdleTimeout, routes).WithCold(cold), errs
}
