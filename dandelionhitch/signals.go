package main

import (
	"os"
	"os/signal"
	"syscall"
)

// ignoreHangupAndPipe disables the default action of SIGHUP and SIGPIPE, which ends the
// process. SIGHUP may arrive before the process handles it or after it has stopped
// handling it; SIGPIPE arrives when the reader of the log has exited.
func ignoreHangupAndPipe() {
	// Nothing reads the channel: Notify alone disables the default action.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGPIPE)
}
