package main

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

// keyReloader reloads the key file on SIGHUP, so that accepted keys change without a
// restart. If the file is invalid, the old keys stay in use.
type keyReloader struct {
	tomb    tomb.Tomb
	path    string
	apply   func(keys)
	log     *zap.Logger
	signals chan os.Signal
}

func newKeyReloader(path string, log *zap.Logger, apply func(keys)) *keyReloader {
	r := &keyReloader{path: path, apply: apply, log: log, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	r.tomb.Go(r.run)
	return r
}

func (r *keyReloader) run() error {
	for {
		select {
		case <-r.signals:
			r.reload()
		case <-r.tomb.Dying():
			return nil
		}
	}
}

func (r *keyReloader) reload() {
	reloaded, err := readKeys(r.path)
	if err != nil {
		r.log.Error("key file refused, the old keys stay", zap.String("file", r.path), zap.Error(err))
		return
	}
	r.apply(reloaded)
	r.log.Info("keys read again", zap.String("file", r.path), zap.Uint8("current", uint8(reloaded.packet.Current())))
}

// Close stops listening for SIGHUP.
func (r *keyReloader) Close() error {
	signal.Stop(r.signals)
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}
