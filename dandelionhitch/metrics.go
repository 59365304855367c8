package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// _meterName is the instrumentation scope of all metrics.
const _meterName = "dandelionhitch"

// _metricsHeaderTimeout bounds the time for reading the headers of a request.
const _metricsHeaderTimeout = 5 * time.Second

// metricsServer serves a process's metrics over HTTP at /metrics.
type metricsServer struct {
	provider *sdkmetric.MeterProvider
	// mux serves the endpoints. Without an address, nothing asks it.
	mux *http.ServeMux
	// server is nil if no address is set.
	server *httpServer
}

// newMetricsServer collects metrics and, unless address is zero, serves them at that
// address. It also serves /ready, which answers 200 while ready returns true and 503
// otherwise. The network fabric checks /ready before it sends packets to a balancer.
func newMetricsServer(address netip.AddrPort, ready func() bool) (*metricsServer, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, trace.Wrap(err, "start metrics")
	}
	m := &metricsServer{provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)), mux: http.NewServeMux()}
	if !address.IsValid() {
		return m, nil
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "start metrics at %s", address)
	}
	m.mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	m.mux.HandleFunc("GET /ready", readiness(ready))
	m.server = serveHTTP("metrics", listener, &http.Server{Handler: m.mux, ReadHeaderTimeout: _metricsHeaderTimeout})
	return m, nil
}

// meter returns the meter with which all packages create their instruments.
func (m *metricsServer) meter() metric.Meter { return m.provider.Meter(_meterName) }

// Close stops serving and waits for the server's goroutine.
func (m *metricsServer) Close() error {
	errs := []error{m.provider.Shutdown(context.Background())}
	if m.server != nil {
		errs = append(errs, m.server.Close())
	}
	return trace.NewAggregate(errs...)
}

// readiness returns a handler that answers 200 while ready returns true and 503
// otherwise.
func readiness(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}
