package soak

import (
	"os"
	"os/exec"
	"runtime"
	"syscall"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// starter starts child processes that the kernel kills when this process ends, even if
// it is killed itself. The kernel kills a child when the thread that started it ends
// (Pdeathsig), so one locked thread starts all children.
type starter struct {
	tomb     tomb.Tomb
	requests chan startRequest
}

type startRequest struct {
	program string
	args    []string
	log     *os.File
	reply   chan startReply
}

type startReply struct {
	command *exec.Cmd
	err     error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest)}
	s.tomb.Go(s.loop)
	return s
}

// start starts a program with args and its output redirected to log. It returns an
// error if the program cannot be started or the starter is closed.
func (s *starter) start(program string, log *os.File, args ...string) (*exec.Cmd, error) {
	request := startRequest{program: program, args: args, log: log, reply: make(chan startReply, 1)}
	select {
	case s.requests <- request:
	case <-s.tomb.Dying():
		return nil, trace.ConnectionProblem(nil, "start %s: soak run is closing", program)
	}
	reply := <-request.reply
	return reply.command, reply.err
}

// loop starts the requested processes on one OS thread until the starter is closed.
func (s *starter) loop() error {
	runtime.LockOSThread()
	for {
		select {
		case request := <-s.requests:
			command := exec.Command(request.program, request.args...)
			command.Stdout, command.Stderr = request.log, request.log
			command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			err := command.Start()
			request.reply <- startReply{command: command, err: trace.Wrap(err, "start %s", request.program)}
		case <-s.tomb.Dying():
			return nil
		}
	}
}

func (s *starter) close() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait() // the loop returns no error
}
