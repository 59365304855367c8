// Command rig-3 runs the scripted cases of the third review: real relays and sidecars as
// separate processes on loopback, with stand-ins for hosts, callers, routers and the platform.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	reason string
}

var cases = map[string]func(w *world, trouble bool) (outcome, error){
	"late-report":   lateReport,
	"moved-relays":  movedRelays,
	"lost-greeting": lostGreeting,
	"late-leave":    lateLeave,
	"slow-reports":  slowReports,
	"young-host":    youngHost,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE FOLDER")
		return 2
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		return 2
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("case %s, trouble %v", os.Args[1], trouble)
	result, err := play(w, trouble)
	switch {
	case err != nil:
		w.record("could not run: %v", err)
		return 2
	case result.broken:
		w.record("BROKEN: %s", result.reason)
		return 1
	default:
		w.record("held: %s", result.reason)
		return 0
	}
}
