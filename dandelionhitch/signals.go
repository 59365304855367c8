package main

import (
	"os"
	"os/signal"
	"syscall"
)

// surviveSignals keeps a long-running process from ending by a signal that only asks
// for something, for as long as it runs: SIGHUP before its settings are followed or
// after that has ended, and SIGPIPE when whoever read its log has gone.
func surviveSignals() {
	// Nothing reads the channel; to be notified is what disables the default.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGPIPE)
}
