package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/settings"
	"dandelionhitch.example/standin"
)

// BenchmarkFlowMemory reports how much open flows increase the resident memory of a
// balancer process and of an agent process, compared with the same processes without flows.
func BenchmarkFlowMemory(b *testing.B) {
	for _, flows := range []int{1000, 4000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			f := prepareFleet(b, 1, measuredValues(_balanceFlowLimit, 1), plannedService{name: "rutetjeneste", hosts: 1, slots: 4})
			p := newMeasuredProcesses(b, f)
			balancer, host := f.plan.balancers[0], f.plan.hosts[0]
			p.start("balancer", balancer.name, p.balancerFile(balancer))
			p.start("agent", host.label, p.agentFile(host))
			f.fabric.SetBalancers(f.plan.balancerAddresses()...)
			p.idleFlowAt(host.label)
			sleepContext(b.Context(), 2*time.Second)
			balancerBytes, agentBytes := p.residentBytes(balancer.name), p.residentBytes(host.label)
			b.ResetTimer()
			o := openFlows(b, f, flows, 0)
			sleepContext(b.Context(), 3*time.Second)
			b.StopTimer()
			opened := float64(len(o.flows))
			b.ReportMetric(opened, "open")
			b.ReportMetric(float64(o.refused), "refusals")
			b.ReportMetric(agentBytes/1e6, "agent-MB-before")
			b.ReportMetric(balancerBytes/1e6, "balancer-MB-before")
			b.ReportMetric((p.residentBytes(host.label)-agentBytes)/1e3/opened, "agent-kB/flow")
			b.ReportMetric((p.residentBytes(balancer.name)-balancerBytes)/1e3/opened, "balancer-kB/flow")
		})
	}
}

// residentBytes returns the resident memory of a process in bytes.
func (p *measuredProcesses) residentBytes(name string) float64 {
	path := fmt.Sprintf("/proc/%d/statm", p.processes[name].Process.Pid)
	data, err := os.ReadFile(path)
	assert.NilError(p.b, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	assert.NilError(p.b, err)
	return float64(pages * os.Getpagesize())
}

// Size in bytes and number of the downloads of BenchmarkDownload.
const (
	_downloadBenchSize   = 20 << 20
	_downloadBenchRounds = 5
)

// directServer is an HTTP/3 server that proxies to an upstream, without a balancer and
// an agent between the caller and itself.
type directServer struct {
	tomb   tomb.Tomb
	conn   *net.UDPConn
	server *http3.Server
}

func startDirectServer(b *testing.B, f *fleet) netip.AddrPort {
	s := f.plan.services[0]
	cert, err := f.authority.issue(string(s.name))
	assert.NilError(b, err)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(b, err)
	d := &directServer{conn: conn, server: &http3.Server{
		Handler:   httputil.NewSingleHostReverseProxy(f.plan.hosts[0].config.upstream),
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}),
	}}
	d.tomb.Go(d.run)
	b.Cleanup(d.close)
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (d *directServer) run() error {
	err := d.server.Serve(d.conn)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (d *directServer) close() {
	_ = d.server.Close()
	d.conn.Close()
	_ = d.tomb.Wait()
}

// BenchmarkDownload reports how fast one flow downloads 20 MiB through the fabric, the
// balancers and an agent. The baseline is the download from an HTTP/3 server that proxies
// directly to the same upstream. All run in one process.
func BenchmarkDownload(b *testing.B) {
	values := tryValues(_tryFlowLimit)
	timeout := settings.Duration(time.Minute)
	values.RequestTimeout = &timeout
	f := startMeasuredFleet(b, _tryBalancers, values, plannedService{name: "rutetjeneste", hosts: 1, slots: 4})
	s := f.plan.services[0]
	direct := startDirectServer(b, f)
	var balancedTimes, directTimes []time.Duration
	b.ResetTimer()
	for range _downloadBenchRounds {
		balancedTimes = append(balancedTimes, download(b, f, s.address))
		directTimes = append(directTimes, download(b, f, direct))
	}
	b.StopTimer()
	b.ReportMetric(megabytesPerSecond(quantile(balancedTimes, 0.5)), "MB/s")
	b.ReportMetric(megabytesPerSecond(quantile(directTimes, 0.5)), "direct-MB/s")
	b.ReportMetric(float64(quantile(directTimes, 0.5))/float64(quantile(balancedTimes, 0.5)), "of-direct")
}

func megabytesPerSecond(took time.Duration) float64 { return _downloadBenchSize / took.Seconds() / 1e6 }

// download downloads _downloadBenchSize bytes on a new flow and returns the time taken.
func download(b *testing.B, f *fleet, address netip.AddrPort) time.Duration {
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	flow, err := standin.Dial(ctx, f.plan.services[0].name, address, f.callerTLS())
	assert.NilError(b, err)
	defer flow.Close()
	answer, err := flow.Do(ctx, standin.Request{Number: 1, Path: standin.PathShort, Download: _downloadBenchSize})
	assert.NilError(b, err)
	assert.Equal(b, answer.Status, http.StatusOK)
	return answer.Duration
}
