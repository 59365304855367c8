package main

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

// keyReloader reads the key file again whenever the process gets SIGHUP, so
// that keys rotate without a restart. A file that is refused changes nothing.
type keyReloader struct {
	tomb    tomb.Tomb
	path    string
	set     func(keys)
	log     *zap.Logger
	signals chan os.Signal
}

func newKeyReloader(path string, log *zap.Logger, set func(keys)) *keyReloader {
	r := &keyReloader{path: path, set: set, log: log, signals: make(chan os.Signal, 1)}
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
	read, err := readKeys(r.path)
	if err != nil {
		r.log.Error("key file refused, the old keys stay", zap.String("file", r.path), zap.Error(err))
		return
	}
	r.set(read)
	r.log.Info("keys read again", zap.String("file", r.path), zap.Uint8("current", uint8(read.packet.Current())))
}

// Close stops to listen for signals.
func (r *keyReloader) Close() error {
	signal.Stop(r.signals)
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}
