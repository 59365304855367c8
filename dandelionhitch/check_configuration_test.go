package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

const (
	_configInForce = `{"version":7,"limits":{"idleTimeoutMs":15000},"services":[{"name":"orders"}],"routes":[
		{"name":"shop","vhost":"198.18.0.1","pathPrefix":"/443/","service":"orders","routeKind":"safe","targetLatencyMs":300,"timeoutMs":3000,"priority":2}]}`
	_configNext = `{"version":8,"limits":{"idleTimeoutMs":15000},"services":[{"name":"orders"}],"routes":[
		{"name":"shop","vhost":"198.18.0.1","pathPrefix":"/443/","service":"orders","routeKind":"at_most_once","targetLatencyMs":300.0,"timeoutMs":3e3,"priority":1}]}`
	_configWrong = `{"version":7,"limits":{"idleTimeoutMs":-1},"services":[{"name":"orders"},{"name":"mail"}],"routes":[
		{"name":"shop","vhost":"198.18.0.1","pathPrefix":"/443/","service":"orders","targetLatencyMs":300,"timeoutMs":200},
		{"name":"host","vhost":"example.com","pathPrefix":"/443/","service":"orders"},
		{"name":"again","vhost":"198.18.0.1","pathPrefix":"/443/","split":[{"service":"orders","weight":0}],"service":"orders"},
		7]}`
)

const _wantWrong = `version 7: 8 findings
  limits: ignored_value: idleTimeoutMs -1 is not from 0 to 86400000 and counts as the nearer of the two
  route 0 "shop": contradiction: timeoutMs is 200ms, below targetLatencyMs of 300ms
  route 1 "host": invalid: configuration 7: route "host": address "example.com" is not an IPv4 address
  route 2 "again": never_matches: route 0 "shop" has the address 198.18.0.1:443, which counts for the first route only
  route 2 "again": contradiction: the weights of the split are all zero, so all flows go to the service "orders"
  route 3 "": invalid: configuration 7: route 3 (""): json: cannot unmarshal number into Go value of type platform.routeSpec
  service 1 "mail": unused_service: no valid route leads to it
  configuration: version_not_higher: version is 7, not above 7 in force, so processes ignore it
`

// writeConfig writes content to a new file and returns its name.
func writeConfig(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

// TestCheckConfiguration checks the output and the exit status without findings, with findings, and
// with bad input, and that flags may stand on both sides of the file.
func TestCheckConfiguration(t *testing.T) {
	store, err := standin.NewPlatform()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, store.Close()) })
	client := platform.NewClient(store.URL())
	t.Cleanup(func() { assert.NilError(t, client.Close()) })
	_, err = client.Put(t.Context(), platform.ConfigurationKey, []byte(_configInForce), 0)
	assert.NilError(t, err)
	inForce, next, wrong := writeConfig(t, _configInForce), writeConfig(t, _configNext), writeConfig(t, _configWrong)
	changes := `version 8: 0 findings

version 7 is in force: 1 changes
  changed route 0 "shop" at 198.18.0.1:443
    priority: 2 to 1
    routeKind: "safe" to "at_most_once"
`
	for _, tt := range []struct {
		name, args, want, wantErr string
		status                    int
	}{
		{"alone", next, "version 8: 0 findings\n", "", _exitOK},
		{"file in force", next + " -in-force " + inForce, changes, "", _exitOK},
		{"store", "-platform " + store.URL().String() + " " + next, changes, "", _exitOK},
		{"below the round trip", "-round-trip 301ms " + next, `route 0 "shop": contradiction`, "1 findings", _exitFailed},
		{"json", "-json " + wrong, `"kind": "never_matches"`, "7 findings", _exitFailed},
		{"wrong", wrong + " -in-force " + inForce, _wantWrong, "8 findings", _exitFailed},
		{"not a configuration", writeConfig(t, `[`), "configuration: invalid", "1 findings", _exitFailed},
		{"too large", writeConfig(t, _configNext+strings.Repeat(" ", platform.MaxValueSize)), "the store accepts", "1 findings", _exitFailed},
		{"in force cannot be read", next + " -in-force " + writeConfig(t, `[`), "", "read the configuration in force", _exitFailed},
		{"no such file", "nowhere.json", "", "nowhere.json", _exitFailed},
		{"no file", "", "", "argument FILE: not set", _exitUsage},
		{"two in force", next + " -in-force x -platform http://127.0.0.1:1", "", "only one of them", _exitUsage},
		{"two files", next + " " + wrong, "", "not expected", _exitUsage},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			status := run(t.Context(), append([]string{"check-configuration"}, strings.Fields(tt.args)...), nil, &out, &errs)
			assert.Equal(t, status, tt.status, errs.String())
			assert.Assert(t, cmp.Contains(out.String(), tt.want))
			assert.Assert(t, cmp.Contains(errs.String(), tt.wantErr))
		})
	}
}

// FuzzCheckConfiguration guards against a panic on odd input, and against a configuration that
// is found free of errors and loses routes or services when it comes into force.
func FuzzCheckConfiguration(f *testing.F) {
	for _, seed := range []string{
		_configInForce, _configNext, _configWrong, `{"version":1,"routes":[null,1,[],{"vhost":"1.2.3.4","pathPrefix":"0","split":[null]}],"services":[null,{"name":"x","coldS":1e300}]}`,
		`{"version":2,"routes":[{"split":[{"service":"s","weight":18446744073709551615}],"vhost":"198.18.0.1","pathPrefix":"443"}],"limits":null}`,
	} {
		f.Add([]byte(seed))
	}
	inForce, err := platform.DecodeWrittenConfiguration([]byte(_configInForce))
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, value []byte) {
		check := checkConfiguration(value, &inForce, _defaultRoundTrip)
		table, invalid, err := platform.DecodeConfiguration(value)
		if len(check.Findings) > 0 || len(value) > platform.MaxValueSize {
			return
		}
		assert.NilError(t, err)
		assert.Equal(t, len(invalid), 0)
		c, err := platform.DecodeWrittenConfiguration(value)
		assert.NilError(t, err)
		assert.Equal(t, table.Len(), len(c.Routes))
		assert.NilError(t, check.print(&bytes.Buffer{}, true))
	})
}
