package main

import (
	"bytes"
	"maps"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

// _settingsInterval is how often the settings file is checked for changes, since it may
// change without a signal: half the time after which another upstream may have the address
// of one that has ended. A check takes a few system calls.
const _settingsInterval = time.Second

// _seedsSetting takes effect in a running process.
const _seedsSetting = "seeds"

// _deferredSettings take effect when the process next starts. All settings other than these
// and the seeds are the identity of the process: which upstream it serves, at which
// addresses, and whom it asks. When they change, the process restarts in place.
//
// A restart of a sidecar makes it unsure of its flows, and one of all relays at a time leaves
// callers without any, so limits and names of a process are not worth one.
var _deferredSettings = []string{
	"node", "metrics", "memory-mb", "grace", "evacuation-bound", "cold-overage", "cold-slack", "priority-admission", "link-mbps", "log-level", "platform-token",
}

// settingsReloader reads the settings again on SIGHUP and whenever the content of their file
// has changed. New seeds take effect at once. If the settings name another identity, the
// reloader sends them to restarts and ends.
type settingsReloader struct {
	tomb  tomb.Tomb
	flags *opaqueFlags
	log   *zap.Logger
	// newRole returns new, unparsed settings, and apply takes the seeds.
	newRole  func() opaqueRole
	apply    func(seeds []netip.Addr)
	signals  chan os.Signal
	restarts chan opaqueRole
	// inForce are the values of the settings in force.
	inForce map[string]string
	// content is what the file contained when it was last read, nil if that failed. failure
	// is the error then.
	content []byte
	failure string
}

// newSettingsReloader starts a reloader for a process that runs with flags.
func newSettingsReloader(
	flags *opaqueFlags, log *zap.Logger, newRole func() opaqueRole, apply func([]netip.Addr),
) *settingsReloader {
	r := &settingsReloader{
		flags: flags, log: log, newRole: newRole, apply: apply, inForce: flags.values(),
		signals: make(chan os.Signal, 1), restarts: make(chan opaqueRole, 1),
	}
	signal.Notify(r.signals, syscall.SIGHUP)
	r.tomb.Go(r.loop)
	return r
}

// Close stops the reloader and waits.
func (r *settingsReloader) Close() error {
	signal.Stop(r.signals)
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *settingsReloader) loop() error {
	ticker := time.NewTicker(_settingsInterval)
	defer ticker.Stop()
	// The file may have changed since the flags were read from it.
	next := r.reload("")
	for next == nil {
		select {
		case <-r.signals:
			next = r.reload("signal")
		case <-ticker.C:
			next = r.reload("")
		case <-r.tomb.Dying():
			return nil
		}
	}
	r.restarts <- next
	return nil
}

// reload reads the settings and applies the seeds. If cause is empty, it does so only if the
// content of the file has changed. It returns the settings if they name another identity, and
// nil otherwise.
func (r *settingsReloader) reload(cause string) opaqueRole {
	content, err := os.ReadFile(r.flags.file)
	if err == nil && cause == "" && r.content != nil && bytes.Equal(content, r.content) {
		return nil
	}
	var next opaqueRole
	if err == nil {
		next, err = r.flags.readAgain(r.newRole())
	}
	if err != nil {
		r.content = nil
		if cause != "" || err.Error() != r.failure {
			r.log.Error("settings refused, the old ones stay", zap.String("file", r.flags.file), zap.String("cause", cause), zap.Error(err))
		}
		r.failure = err.Error()
		return nil
	}
	r.content, r.failure = content, ""
	return r.take(next, cause)
}

// take applies the seeds of valid settings, and returns the settings if they name another
// identity.
func (r *settingsReloader) take(next opaqueRole, cause string) opaqueRole {
	flags := next.common()
	settings := flags.values()
	var deferred, identity []string
	changed := false
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		switch {
		case settings[name] == r.inForce[name]:
			continue
		case slices.Contains(_deferredSettings, name):
			deferred = append(deferred, name)
		case name != _seedsSetting:
			identity = append(identity, name)
		}
		changed = true
	}
	if cause != "" || changed {
		r.log.Info("settings read again", zap.String("file", flags.file), zap.String("cause", cause),
			zap.Bool("changed", changed), zap.Int("seeds", len(flags.seeds)))
	}
	if len(identity) > 0 {
		r.log.Warn("settings name another identity", zap.String("from", describe(identity, r.inForce)), zap.String("to", describe(identity, settings)))
		flags.identityChanges = r.flags.identityChanges + 1
		return next
	}
	if len(deferred) > 0 {
		r.log.Warn("settings need a restart", zap.String("from", describe(deferred, r.inForce)), zap.String("to", describe(deferred, settings)))
	}
	r.inForce[_seedsSetting] = settings[_seedsSetting]
	r.apply(flags.seedAddrs())
	return nil
}

// describe returns the settings with the given names and their values.
func describe(names []string, values map[string]string) string {
	var b strings.Builder
	for i, name := range names {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(name + "=" + values[name])
	}
	return b.String()
}
