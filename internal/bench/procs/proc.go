// Package procs runs programs of the project as separate processes and injects
// process failures.
package procs

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// stopTime bounds a graceful stop; afterwards the process is killed.
const stopTime = 40 * time.Second

// Proc is a running process.
type Proc struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu    sync.Mutex
	lines []string
	more  chan struct{}
}

// Start starts the program. Its output lines are kept for Find and copied to
// log if that is not nil.
func Start(name, program string, log io.Writer, args ...string) (*Proc, error) {
	pr := &Proc{
		Name: name, cmd: exec.Command(program, args...),
		done: make(chan struct{}), more: make(chan struct{}),
	}
	rd, wr, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	pr.cmd.Stdout, pr.cmd.Stderr = wr, wr
	// A test that is killed must not leave processes behind.
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := pr.cmd.Start(); err != nil {
		return nil, errors.Join(err, rd.Close(), wr.Close())
	}
	_ = wr.Close()
	go pr.collect(rd, log)
	return pr, nil
}

// collect reads the output until the process has ended.
func (pr *Proc) collect(rd io.ReadCloser, log io.Writer) {
	defer close(pr.done)
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		pr.add(sc.Text())
		if log != nil {
			_, _ = fmt.Fprintf(log, "%s: %s\n", pr.Name, sc.Text())
		}
	}
	_ = rd.Close()
	pr.err = pr.cmd.Wait()
}

func (pr *Proc) add(line string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lines = append(pr.lines, line)
	close(pr.more)
	pr.more = make(chan struct{})
}

// Find waits for the first output line for which match reports true.
func (pr *Proc) Find(ctx context.Context, match func(line string) bool) (string, error) {
	for from := 0; ; {
		pr.mu.Lock()
		lines, more := pr.lines[from:], pr.more
		pr.mu.Unlock()
		for _, li := range lines {
			if match(li) {
				return li, nil
			}
		}
		from += len(lines)
		select {
		case <-more:
		case <-ctx.Done():
			return "", fmt.Errorf("procs: %s: %w", pr.Name, ctx.Err())
		case <-pr.done:
			return "", fmt.Errorf("procs: %s ended: %w; last output: %q", pr.Name, pr.err, pr.Tail(3))
		}
	}
}

// Tail returns the last output lines.
func (pr *Proc) Tail(count int) []string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return append([]string(nil), pr.lines[max(0, len(pr.lines)-count):]...)
}

// PID returns the process id.
func (pr *Proc) PID() int { return pr.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (pr *Proc) Running() bool {
	select {
	case <-pr.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once.
func (pr *Proc) Kill() {
	_ = pr.cmd.Process.Signal(syscall.SIGKILL)
	<-pr.done
}

// Freeze stops the process without ending it.
func (pr *Proc) Freeze() error { return pr.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a stopped process go on.
func (pr *Proc) Thaw() error { return pr.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully.
func (pr *Proc) Terminate() error { return pr.cmd.Process.Signal(syscall.SIGTERM) }

// Stop stops the process gracefully and returns its error.
func (pr *Proc) Stop() error {
	if !pr.Running() {
		return pr.err
	}
	_ = pr.Thaw()
	if err := pr.Terminate(); err != nil {
		return err
	}
	ti := time.NewTimer(stopTime)
	defer ti.Stop()
	select {
	case <-pr.done:
		return pr.err
	case <-ti.C:
		pr.Kill()
		return fmt.Errorf("procs: %s did not stop within %s", pr.Name, stopTime)
	}
}

// Wait returns when the process has ended.
func (pr *Proc) Wait() error {
	<-pr.done
	return pr.err
}
