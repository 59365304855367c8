package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"dandelionhitch.example/service"
	"dandelionhitch.example/standin"
)

// _asProgram is the environment variable that makes the test binary run as the program itself.
const _asProgram = "DANDELIONHITCH_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(_asProgram) != "" {
		main()
		return
	}
	if name, ok := strings.CutPrefix(filepath.Base(os.Args[0]), _mutantPrefix); ok {
		os.Exit(runMutant(strings.ReplaceAll(name, "-", " "), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// processFleet is a fleet whose balancers and agents are separate processes.
type processFleet struct {
	*fleet
	t         testing.TB
	dir       string
	processes map[string]*exec.Cmd
}

// startProcesses starts the processes of 3 balancers and of 2 services with 2 agents each.
func startProcesses(t *testing.T) *processFleet {
	t.Helper()
	layout, err := newPlan("oslo", []service.Place{"oslo-a", "oslo-b"}, 3,
		plannedService{name: "rutetjeneste", hosts: 2, slots: 4},
		plannedService{name: "fotoarkiv", hosts: 2, slots: 4})
	assert.NilError(t, err)
	t.Cleanup(func() { layout.Close() })
	inner, err := newFleet(t.Context(), layout, tryValues(_tryFlowLimit), zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	f := newProcessFleet(t, inner)
	for _, b := range layout.balancers {
		f.start("balancer", b.name, f.balancerFile(b))
	}
	for _, host := range layout.hosts {
		f.start("agent", host.label, f.agentFile(host))
	}
	f.fabric.SetBalancers(layout.balancerAddresses()...)
	return f
}

// newProcessFleet returns a fleet without processes. Processes that the test starts in
// it are killed when the test ends.
func newProcessFleet(t testing.TB, inner *fleet) *processFleet {
	t.Helper()
	f := &processFleet{fleet: inner, t: t, dir: t.TempDir(), processes: make(map[string]*exec.Cmd)}
	t.Cleanup(f.killAll)
	f.writeCredentials()
	return f
}

func (f *processFleet) writeCredentials() {
	f.write("keys.json", f.keyData)
	f.write("ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: f.authority.cert.Raw}))
	f.writeCert("control", f.resources.tls.Certificates[0])
	for _, s := range f.plan.services {
		cert, err := f.authority.issue(string(s.name))
		assert.NilError(f.t, err)
		f.writeCert(string(s.name), cert)
	}
}

func (f *processFleet) writeCert(name string, cert tls.Certificate) {
	writeCert(f.t, f.dir, name, cert)
}

// writeCert writes a certificate and its key as PEM files.
func writeCert(t testing.TB, dir, name string, cert tls.Certificate) {
	t.Helper()
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	assert.NilError(t, err)
	for file, block := range map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: cert.Certificate[0]},
		name + ".key": {Type: "PRIVATE KEY", Bytes: key},
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, file), pem.EncodeToMemory(block), 0o600))
	}
}

func (f *processFleet) write(name string, data []byte) {
	assert.NilError(f.t, os.WriteFile(f.path(name), data, 0o600))
}

func (f *processFleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *processFleet) nodeSettings(c nodeConfig) map[string]any {
	return map[string]any{
		"region": c.region, "place": c.place, "data": c.data, "control": c.control,
		"metrics":  metricsAddress(c),
		"platform": f.platform.URL().String(), "keys": f.path("keys.json"), "log_level": "warn",
		"control_cert": f.path("control.pem"), "control_key": f.path("control.key"), "control_ca": f.path("ca.pem"),
	}
}

func metricsAddress(c nodeConfig) netip.AddrPort {
	const port = 7002
	return netip.AddrPortFrom(c.data.Addr(), port)
}

// metrics returns the text that a process serves at /metrics.
func (f *processFleet) metrics(c nodeConfig) string {
	f.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/metrics", metricsAddress(c)))
	assert.NilError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return string(body)
}

func (f *processFleet) balancerFile(b balancerConfig) map[string]any {
	values := f.nodeSettings(b.nodeConfig)
	values["name"] = b.name
	listen := []string{}
	for _, l := range b.listeners {
		listen = append(listen, fmt.Sprintf("%s=%s", l.Bind, l.Address))
	}
	values["listen"] = listen
	if len(b.peers) > 0 {
		values["peers"] = b.peers
	}
	return values
}

func (f *processFleet) agentFile(host plannedHost) map[string]any {
	values := f.nodeSettings(host.config.nodeConfig)
	values["service"] = host.config.service
	values["upstream"] = host.config.upstream.String()
	values["peers"] = host.config.peers
	values["caller_cert"] = f.path(string(host.config.service) + ".pem")
	values["caller_key"] = f.path(string(host.config.service) + ".key")
	return values
}

// start starts one process of the program with the values as its configuration file.
func (f *processFleet) start(role, name string, values map[string]any) *exec.Cmd {
	f.t.Helper()
	f.write(name+".json", mustJSON(f.t, values))
	command := exec.Command(os.Args[0], role, "-config", f.path(name+".json"))
	command.Env = append(os.Environ(), _asProgram+"=1")
	command.Stderr = os.Stderr
	// Without Pdeathsig, the process would outlive a test binary that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(f.t, command.Start())
	f.processes[name] = command
	return command
}

// signal sends a signal to the named process.
func (f *processFleet) signal(name string, signal syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.processes[name].Process.Signal(signal))
}

// wait waits until the named process has exited and returns its error.
func (f *processFleet) wait(name string) error {
	err := f.processes[name].Wait()
	delete(f.processes, name)
	return err
}

func (f *processFleet) killAll() {
	for _, command := range f.processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// dial opens a flow to a service, retrying until the service accepts one.
func (f *processFleet) dial(s plannedService) *standin.Caller {
	f.t.Helper()
	var caller *standin.Caller
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
		defer cancel()
		var err error
		if caller, err = standin.Dial(ctx, s.name, s.address, f.callerTLS()); err != nil {
			return poll.Continue("dial %s: %v", s.name, err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	f.t.Cleanup(caller.Close)
	return caller
}

// command returns an operator's command that has not been started.
func (f *processFleet) command(args ...string) *exec.Cmd {
	f.t.Helper()
	f.write("operator.json", mustJSON(f.t, map[string]any{
		"platform": f.platform.URL().String(), "peers": f.plan.hosts[0].config.peers,
		"control_cert": f.path("control.pem"), "control_key": f.path("control.key"), "control_ca": f.path("ca.pem"),
	}))
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), _asProgram+"=1", "DANDELIONHITCH_CONFIG="+f.path("operator.json"))
	return command
}

// mustRun runs an operator's command, which must succeed, and returns its output.
func (f *processFleet) mustRun(command *exec.Cmd) string {
	f.t.Helper()
	out, err := command.CombinedOutput()
	assert.NilError(f.t, err, "%s", out)
	return string(out)
}

// runOperator runs the operator's command with args, which must succeed, and returns its output.
func (f *processFleet) runOperator(args ...string) string {
	f.t.Helper()
	return f.mustRun(f.command(args...))
}

func mustJSON(t testing.TB, value any) []byte {
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return data
}

// request sends one request, which must succeed, and returns the label of the upstream.
func (f *processFleet) request(caller *standin.Caller, number uint64) string {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	answer, err := caller.Do(ctx, standin.Request{Number: number, Path: standin.PathShort, Upload: 50_000, Download: 200_000})
	assert.NilError(f.t, err)
	assert.Equal(f.t, answer.Status, 200)
	return answer.Upstream
}

// TestFlowsSurviveProcessChanges runs the real program as 3 balancers and 4 agents. A
// balancer is killed, one is stopped, one joins, and an agent is paused. Every answer
// must be complete and from the caller's service, and no flow may break.
func TestFlowsSurviveProcessChanges(t *testing.T) {
	f := startProcesses(t)
	const flows = 6
	callers := make([][]*standin.Caller, len(f.plan.services))
	for i, s := range f.plan.services {
		for range flows {
			callers[i] = append(callers[i], f.dial(s))
		}
	}
	number := uint64(0)
	requestOnAll := func(step string) {
		t.Helper()
		for i := range callers {
			for _, caller := range callers[i] {
				number++
				f.request(caller, number)
			}
		}
		t.Logf("%s: %d requests answered completely", step, number)
	}
	requestOnAll("at the start")

	f.signal("balancer-3", syscall.SIGKILL)
	assert.ErrorContains(t, f.wait("balancer-3"), "killed")
	f.removeBalancer(2)
	requestOnAll("after a balancer was killed")

	f.signal("balancer-2", syscall.SIGTERM)
	f.fabric.SetBalancers(f.plan.balancerAddresses()[0])
	assert.NilError(t, f.wait("balancer-2"))
	requestOnAll("after a balancer was stopped")

	f.start("balancer", "balancer-3", f.balancerFile(f.plan.balancers[2]))
	f.fabric.SetBalancers(f.plan.balancerAddresses()[0], f.plan.balancerAddresses()[2])
	requestOnAll("after a balancer joined")

	paused := f.plan.hosts[0].label
	f.signal(paused, syscall.SIGSTOP)
	f.dial(f.plan.services[0])
	f.signal(paused, syscall.SIGCONT)
	requestOnAll("after an agent was paused")
}

// TestRaiseExplainAndLowerFlowLimit runs operators' commands against real processes: it
// raises a limit, explains it and lowers it again while flows are open. The explanation
// must name the new limit and its author, and a flow opened before must survive.
func TestRaiseExplainAndLowerFlowLimit(t *testing.T) {
	f := startProcesses(t)
	caller := f.dial(f.plan.services[0])
	f.dial(f.plan.services[1])
	change := func(limit string) string {
		return f.runOperator("settings", "set", "-author", "ada", "-reason", "dawn", "-wait", "oslo", "max_flows="+limit)
	}
	t.Log(change("4000"))
	explained := f.runOperator("explain", "oslo/oslo-a/rutetjeneste")
	t.Log(explained)
	assert.Assert(t, cmp.Contains(explained, "4000"))
	assert.Assert(t, cmp.Contains(explained, "ada"))
	t.Log(change("2000"))
	assert.Assert(t, cmp.Contains(f.runOperator("settings", "history"), "dawn"))
	f.request(caller, 1)
}

// TestInvalidDatagramsAreCountedAndDropped sends a balancer and an agent datagrams that no
// caller or node sends. They must be counted, and requests must still succeed.
func TestInvalidDatagramsAreCountedAndDropped(t *testing.T) {
	f := startProcesses(t)
	caller := f.dial(f.plan.services[0])
	b, host := f.plan.balancers[0], f.plan.hosts[0]
	tests := []struct {
		name string
		to   netip.AddrPort
		node nodeConfig
		want string
	}{
		{"to a balancer as from a caller", b.listeners[0].Bind, b.nodeConfig, `dandelionhitch_balancer_datagrams_total{.*result="dropped_not_quic".*} [1-9]`},
		{"to a balancer as from an agent", b.data, b.nodeConfig, `dandelionhitch_balancer_datagrams_total{.*result="forged".*} [1-9]`},
		{"to an agent", host.config.data, host.config.nodeConfig, `dandelionhitch_agent_events_total{.*result="forged".*} [1-9]`},
	}
	for _, tt := range tests {
		conn, err := net.Dial("udp4", tt.to.String())
		assert.NilError(t, err)
		for _, datagram := range [][]byte{{}, {0}, make([]byte, 17), bytes.Repeat([]byte{0xff}, 1500)} {
			_, err = conn.Write(datagram)
			assert.NilError(t, err)
		}
		conn.Close()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if ok, _ := regexp.MatchString(tt.want, f.metrics(tt.node)); !ok {
				return poll.Continue("%s: the datagrams are not counted", tt.name)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
	f.request(caller, 1)
}
