package main

import (
	"bytes"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

// _settingsInterval is how often the settings file is checked for changes, since it
// may change without a signal.
const _settingsInterval = 5 * time.Second

// settingsReloader reads the settings file again on SIGHUP and whenever its content
// has changed. Only the list of seeds takes effect in a running process; all other
// settings need a restart.
type settingsReloader struct {
	tomb tomb.Tomb
	path string
	log  *zap.Logger
	// read parses the file and returns the seeds in it.
	read    func(path string) ([]netip.Addr, error)
	apply   func(seeds []netip.Addr)
	signals chan os.Signal
	// content is what was read last without an error.
	content []byte
}

func newSettingsReloader(
	path string, log *zap.Logger, read func(string) ([]netip.Addr, error), apply func([]netip.Addr),
) *settingsReloader {
	r := &settingsReloader{path: path, log: log, read: read, apply: apply, signals: make(chan os.Signal, 1)}
	r.content, _ = os.ReadFile(path) // a read error is logged at the first reload
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
	for {
		select {
		case <-r.signals:
			r.reload("signal")
		case <-ticker.C:
			r.reload("")
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// reload reads the file and applies its seeds. If cause is empty, it does so only if
// the content has changed.
func (r *settingsReloader) reload(cause string) {
	content, err := os.ReadFile(r.path)
	if err == nil && cause == "" && bytes.Equal(content, r.content) {
		return
	}
	var seeds []netip.Addr
	if err == nil {
		seeds, err = r.read(r.path)
	}
	if err != nil {
		r.log.Error("settings refused, the old ones stay", zap.String("file", r.path), zap.String("cause", cause), zap.Error(err))
		return
	}
	changed := !bytes.Equal(content, r.content)
	r.content = content
	r.log.Info("settings read again", zap.String("file", r.path), zap.String("cause", cause),
		zap.Bool("changed", changed), zap.Int("seeds", len(seeds)))
	r.apply(seeds)
}
