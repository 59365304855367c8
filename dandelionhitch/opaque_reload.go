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

// _settingsInterval is how often the settings file is compared with what was
// read: it may change without a signal.
const _settingsInterval = 5 * time.Second

// settingsReloader reads the settings file again on SIGHUP, and when it differs.
// What can change in a running process is the list of seeds; the rest needs a
// restart, and the log says so.
type settingsReloader struct {
	tomb    tomb.Tomb
	path    string
	log     *zap.Logger
	read    func(path string) ([]netip.Addr, error)
	apply   func(seeds []netip.Addr)
	signals chan os.Signal
	content []byte
}

func newSettingsReloader(
	path string, log *zap.Logger, read func(string) ([]netip.Addr, error), apply func([]netip.Addr),
) *settingsReloader {
	r := &settingsReloader{path: path, log: log, read: read, apply: apply, signals: make(chan os.Signal, 1)}
	r.content, _ = os.ReadFile(path) // a file that cannot be read shows at the first reload
	signal.Notify(r.signals, syscall.SIGHUP)
	r.tomb.Go(r.loop)
	return r
}

// Close stops to listen for signals, and waits.
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

// reload reads the file. Without a cause it does nothing unless the file differs.
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
		r.log.Error("settings refused, the old ones stay", zap.String("file", r.path), zap.Error(err))
		return
	}
	changed := !bytes.Equal(content, r.content)
	r.content = content
	r.log.Info("settings read again", zap.String("file", r.path), zap.String("cause", cause),
		zap.Bool("changed", changed), zap.Int("seeds", len(seeds)))
	r.apply(seeds)
}
