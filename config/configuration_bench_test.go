package config

import (
	"encoding/json"
	"fmt"
	"testing"
)

// benchConfiguration returns a valid configuration with a number of routes and a quarter as many services.
func benchConfiguration(routes int) *Configuration {
	c := &Configuration{Version: 1, Limits: Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}}
	for i := range routes/4 + 1 {
		c.Services = append(c.Services, Service{Name: fmt.Sprint("service-", i), HealthPath: "/health", ConnectionLimit: 280, Protocol: "h1"})
	}
	for i := range routes {
		c.Routes = append(c.Routes, Route{
			Name:       fmt.Sprint("route-", i),
			Hostname:   fmt.Sprintf("h%d.example", i%20),
			PathPrefix: fmt.Sprintf("/p-%d/", i),
			RouteKind:  Retryable,
			TimeoutMS:  3000,
			TargetMS:   300,
			Priority:   1,
			Service:    c.Services[i%len(c.Services)].Name,
			Attempts:   2,
		})
	}
	return c
}

// BenchmarkConfiguration measures the time and memory to parse, validate and use a configuration by its number of routes, for
// docs/CAPACITY.md:
//
//	go test -run xxx -bench Configuration -benchmem ./config
func BenchmarkConfiguration(b *testing.B) {
	for _, routes := range []int{10, 1000, 10_000} {
		c := benchConfiguration(routes)
		text, err := json.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		table := NewRouteTable(c)
		run := func(name string, operation func()) {
			b.Run(fmt.Sprintf("%s/routes=%d", name, routes), func(b *testing.B) {
				b.ReportAllocs()
				b.ReportMetric(float64(len(text)), "bytes")
				for b.Loop() {
					operation()
				}
			})
		}
		run("parse", func() { Parse(text) })
		run("validate", func() { c.Validate() })
		run("table", func() { NewRouteTable(c) })
		run("find", func() { table.Find("h1.example", "/p-1/x") })
	}
}
