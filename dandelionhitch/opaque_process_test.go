package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/soak"
	"dandelionhitch.example/standin"
)

// TestSoak runs relays and sidecars as processes under the faults of a fixed seed. No
// promise of the soak may be broken.
func TestSoak(t *testing.T) {
	runSoak(t, soak.Config{Seed: 100, FaultDuration: 6 * time.Second})
}

// TestSoakWithPriorityAdmission runs the soak with the setting priority_admission, which its odd
// seeds have. After the faults, more important requests must not be refused instead of others.
func TestSoakWithPriorityAdmission(t *testing.T) {
	runSoak(t, soak.Config{Seed: 201, FaultDuration: 6 * time.Second})
}

// runSoak runs a small fleet of this program, and checks that no promise is broken.
func runSoak(t *testing.T, config soak.Config) {
	t.Helper()
	t.Setenv(_asProgram, "1")
	config.Program, config.Dir, config.RestDuration = os.Args[0], t.TempDir(), time.Second
	config.Relays, config.Hosts, config.CallsPerSecond = 4, 6, 60
	report, err := soak.Run(config)
	assert.NilError(t, err)
	var b bytes.Buffer
	report.Print(&b)
	t.Log(b.String())
	assert.Assert(t, !report.Broken(), "%s\n%s", b.String(), strings.Join(report.Faults, "\n"))
	assert.Assert(t, report.Calls > 0 && report.Answered > report.Calls/2)
}

// TestOpaqueSettingsReportAllFindings starts a relay with a settings file that has
// several errors, which must all be reported at once.
func TestOpaqueSettingsReportAllFindings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "relay.json")
	content := `{"node":"x","zone":"a","addr":"10.1.0.300","peer_port":70000,"ingress":"here","seeds":["10.1.0.1"],
		"platform":"nowhere","upstream_mode":"tunnel","colour":"blue"}`
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	var stderr bytes.Buffer
	status := run(t.Context(), []string{"relay", "-config", file}, nil, &stderr, &stderr)
	assert.Equal(t, status, _exitUsage)
	for _, finding := range []string{
		"-addr", "-peer-port", "-ingress", "-seeds", "-platform", `"tunnel" is not served`, "colour", "-ready: not set", "-control: not set",
	} {
		assert.Assert(t, cmp.Contains(stderr.String(), finding))
	}
}

// TestDeployTemplates checks that each key in the deploy templates of relay and
// sidecar is a setting of that role.
func TestDeployTemplates(t *testing.T) {
	for role, flags := range map[string]*flagSet{
		"relay":   newRelayFlags(nil, nil).flagSet,
		"sidecar": newSidecarFlags(nil, nil).flagSet,
	} {
		content, err := os.ReadFile(filepath.Join("..", "deploy", role+".json"))
		assert.NilError(t, err)
		for line := range strings.Lines(string(content)) {
			key, _, ok := strings.Cut(strings.TrimSpace(line), `":`)
			if ok {
				name := strings.ReplaceAll(strings.Trim(key, `"`), "_", "-")
				assert.Assert(t, flags.Lookup(name) != nil, "%s: %s", role, name)
			}
		}
	}
}

// fakeConfigurationTarget is the target of a storeReader under test. It sends the tables
// that the reader puts in force to the channel tables, and a value for each successful read
// to the channel reads. One read is due for each zero that a test sends to the channel due.
type fakeConfigurationTarget struct {
	tables      chan directory.Table
	evacuations chan evacuation.Set
	due         chan time.Duration
	reads       chan struct{}
}

func newFakeConfigurationTarget() *fakeConfigurationTarget {
	return &fakeConfigurationTarget{tables: make(chan directory.Table, 100), evacuations: make(chan evacuation.Set, 100), due: make(chan time.Duration, 100), reads: make(chan struct{}, 100)}
}

func (f *fakeConfigurationTarget) SetTable(table directory.Table, _ string) bool {
	f.tables <- table
	return true
}

func (f *fakeConfigurationTarget) SetEvacuations(set evacuation.Set, _ string) { f.evacuations <- set }

func (f *fakeConfigurationTarget) UntilRead() time.Duration {
	select {
	case due := <-f.due:
		return due
	default:
		return time.Hour
	}
}

func (f *fakeConfigurationTarget) ReadSucceeded(uint16) { f.reads <- struct{}{} }

func (f *fakeConfigurationTarget) ReadStarted() {}
func (f *fakeConfigurationTarget) ReadPending() {}
func (f *fakeConfigurationTarget) ReadFailed()  {}

// TestStoreReaderAppliesConfiguration checks that the configuration and the evacuated
// zones in the store are put in force when a read is due.
func TestStoreReaderAppliesConfiguration(t *testing.T) {
	store, err := standin.NewPlatform()
	assert.NilError(t, err)
	defer store.Close()
	client := platform.NewClient(store.URL())
	defer client.Close()
	config := map[string]any{"version": 9, "routes": []any{
		map[string]any{"name": "a", "vhost": "198.18.0.1", "pathPrefix": "/443/", "service": "orders"},
	}}
	value, err := json.Marshal(config)
	assert.NilError(t, err)
	_, err = client.Put(t.Context(), platform.ConfigurationKey, value, 0)
	assert.NilError(t, err)

	target := newFakeConfigurationTarget()
	target.due <- 0
	r := newStoreReader(target, client, true, zap.NewNop())
	defer r.Close()
	assert.Equal(t, (<-target.tables).Version(), uint64(9))
	<-target.reads
	assert.Equal(t, (<-target.evacuations).String(), "none")

	version, err := client.Put(t.Context(), platform.EvacuationsKind+"/oslo-a", []byte("{}"), 0)
	assert.NilError(t, err)
	target.due <- 0
	<-target.reads
	assert.Equal(t, (<-target.evacuations).String(), "oslo-a")
	assert.NilError(t, client.Delete(t.Context(), platform.EvacuationsKind+"/oslo-a", version))
	target.due <- 0
	<-target.reads
	assert.Equal(t, (<-target.evacuations).String(), "none")
}

// TestStoreReaderRecoversFromOutage starts a storeReader while the store does not
// answer. After the outage, the reader must put the configuration in force within 3 s,
// although its first call may still hang.
func TestStoreReaderRecoversFromOutage(t *testing.T) {
	store, err := standin.NewPlatform(standin.WithPlatformFaults(standin.PlatformFaults{Delay: time.Hour}))
	assert.NilError(t, err)
	defer store.Close()
	client := platform.NewClient(store.URL())
	defer client.Close()
	target := newFakeConfigurationTarget()
	for range 50 {
		target.due <- 0
	}
	r := newStoreReader(target, client, true, zap.NewNop())
	defer r.Close()
	time.Sleep(600 * time.Millisecond) // one call hangs without an answer
	store.SetFaults(standin.PlatformFaults{})
	_, err = client.Put(t.Context(), platform.ConfigurationKey, []byte(`{"version":3}`), 0)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case table := <-target.tables:
			assert.Equal(t, table.Version(), uint64(3))
			return poll.Success()
		default:
			return poll.Continue("no configuration yet")
		}
	}, poll.WithTimeout(3*time.Second))
}

// TestRelayProcess starts a single relay as a process. Without a configuration it
// must not be ready, but must serve metrics, reload its settings on SIGHUP, and stop
// within the grace period after an interrupt.
func TestRelayProcess(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "relay.json")
	settings := `{"node":"r1","zone":"a","addr":"127.0.7.9","ingress":"127.0.7.9:17011","ready":"127.0.7.9:17012",
		"control":"127.0.7.9:17013","metrics":"127.0.7.9:17014","peer_port":17015,"seeds":[],"grace":"2s"}`
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	command := exec.Command(os.Args[0], "relay", "-config", file)
	command.Env = append(os.Environ(), _asProgram+"=1")
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	assert.NilError(t, command.Start())
	defer func() { _ = command.Process.Kill() }() // no effect if the test passed: the process has ended
	status := func(target string) (int, string) {
		response, err := http.Get(target)
		if err != nil {
			return 0, err.Error()
		}
		defer response.Body.Close()
		var b bytes.Buffer
		_, err = b.ReadFrom(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, b.String()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if code, text := status("http://127.0.7.9:17012/-/ready"); code != http.StatusServiceUnavailable {
			return poll.Continue("%d %s", code, text)
		}
		return poll.Success()
	})
	code, text := status("http://127.0.7.9:17014/metrics")
	assert.Equal(t, code, http.StatusOK)
	for _, name := range []string{"dandelionhitch_relay_packets", "dandelionhitch_known_sidecars", "dandelionhitch_settings_version", "dandelionhitch_settings_behind_ms", "dandelionhitch_sent_far_offer_bytes"} {
		assert.Assert(t, cmp.Contains(text, name))
	}
	code, _ = status("http://127.0.7.9:17013/-/instances/i-1")
	assert.Equal(t, code, http.StatusServiceUnavailable, "a relay must not acknowledge the heartbeat of an upstream")
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, command.Process.Signal(os.Interrupt))
	start := time.Now()
	assert.NilError(t, command.Wait())
	assert.Assert(t, time.Since(start) < 2*time.Second)
	for _, line := range []string{`"relay started"`, `"settings read again"`, `"relay leaves"`, `"relay stopped"`} {
		assert.Assert(t, cmp.Contains(output.String(), line))
	}
}

// TestRelaySurvivesClosedLogPipe closes the read end of a relay's standard
// output. The relay must survive the SIGPIPE of its next log lines, as well as SIGHUP
// and a second SIGTERM while it drains.
func TestRelaySurvivesClosedLogPipe(t *testing.T) {
	file := filepath.Join(t.TempDir(), "relay.json")
	settings := `{"node":"r2","zone":"a","addr":"127.0.7.11","ingress":"127.0.7.11:17021","ready":"127.0.7.11:17022",
		"control":"127.0.7.11:17023","peer_port":17025,"seeds":[],"grace":"2s"}`
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	command := exec.Command(os.Args[0], "relay", "-config", file)
	command.Env = append(os.Environ(), _asProgram+"=1")
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	defer func() { _ = command.Process.Kill() }() // no effect if the test passed: the process has ended
	isAnswering := func() bool {
		response, err := http.Get("http://127.0.7.11:17022/-/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return true
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !isAnswering() {
			return poll.Continue("not started")
		}
		return poll.Success()
	})
	assert.NilError(t, output.Close())
	for range 5 {
		assert.NilError(t, command.Process.Signal(syscall.SIGHUP)) // each makes the relay write a log line
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, isAnswering(), "the process ended after its log pipe was closed")
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, command.Process.Signal(s))
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, command.Wait())
}

// restoredStore is a store whose reader has read a configuration and evacuated zones
// since the store was copied.
type restoredStore struct {
	*standin.Platform
	client *platform.Client
	copied standin.PlatformCopy
	target *fakeConfigurationTarget
	// evacuated is the last set that was read.
	evacuated evacuation.Set
}

// newRestoredStore copies a store with a configuration of version 1, and then changes the
// configuration to version 2 and evacuates a zone and takes it back.
func newRestoredStore(t *testing.T) *restoredStore {
	t.Helper()
	store, err := standin.NewPlatform()
	assert.NilError(t, err)
	s := &restoredStore{Platform: store, client: platform.NewClient(store.URL()), target: newFakeConfigurationTarget()}
	version := s.put(t, platform.ConfigurationKey, `{"version":1}`, 0)
	s.copied = store.Copy()
	s.put(t, platform.ConfigurationKey, `{"version":2}`, version)
	entry := s.put(t, platform.EvacuationsKind+"/oslo-a", `{}`, 0)
	assert.NilError(t, s.client.Delete(t.Context(), platform.EvacuationsKind+"/oslo-a", entry))
	r := newStoreReader(s.target, s.client, true, zap.NewNop())
	t.Cleanup(func() {
		assert.NilError(t, r.Close())
		assert.NilError(t, s.client.Close())
		assert.NilError(t, store.Close())
	})
	s.read()
	assert.Equal(t, (<-s.target.tables).Version(), uint64(2))
	return s
}

// put writes an object as another client of the store does.
func (s *restoredStore) put(t *testing.T, key, value string, expected platform.Version) platform.Version {
	t.Helper()
	operator := platform.NewClient(s.URL())
	defer operator.Close()
	version, err := operator.Put(t.Context(), key, []byte(value), expected)
	assert.NilError(t, err)
	return version
}

// read lets the reader read the store.
func (s *restoredStore) read() {
	s.target.due <- 0
	<-s.target.reads
	s.evacuated = <-s.target.evacuations
}

// TestEvacuationAfterRestoredStoreIsNewer guards against dropping a set of evacuated zones
// whose revision is lower than one that was read before the store was restored.
func TestEvacuationAfterRestoredStoreIsNewer(t *testing.T) {
	s := newRestoredStore(t)
	before := s.evacuated
	s.Restore(s.copied)
	s.put(t, platform.EvacuationsKind+"/oslo-b", `{}`, 0)
	s.read()
	assert.Equal(t, s.evacuated.String(), "oslo-b")
	assert.Assert(t, s.evacuated.Newer(before), "version %d was read before %d", before.Version(), s.evacuated.Version())
}

// TestConfigurationWithReusedRevisionIsRead guards against taking a configuration for
// unchanged because a restored store has given its revision out again.
func TestConfigurationWithReusedRevisionIsRead(t *testing.T) {
	s := newRestoredStore(t)
	s.Restore(s.copied)
	object, err := s.client.Get(t.Context(), platform.ConfigurationKey)
	assert.NilError(t, err)
	s.put(t, platform.ConfigurationKey, `{"version":3}`, object.Version)
	s.read()
	select {
	case table := <-s.target.tables:
		assert.Equal(t, table.Version(), uint64(3))
	default:
		t.Error("the configuration was not put in force")
	}
}
