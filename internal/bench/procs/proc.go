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

// stopTimeout bounds a graceful stop, after which the process is killed.
const stopTimeout = 40 * time.Second

// Proc is a running process.
type Proc struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu    sync.Mutex
	lines []string
	// lineAdded is closed and replaced when a line is added.
	lineAdded chan struct{}
}

// Start starts the program. Its output lines are stored, and copied to log unless
// it is nil.
func Start(name, program string, log io.Writer, args ...string) (*Proc, error) {
	pr := &Proc{
		Name: name, cmd: exec.Command(program, args...),
		done: make(chan struct{}), lineAdded: make(chan struct{}),
	}
	rd, wr, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	pr.cmd.Stdout, pr.cmd.Stderr = wr, wr
	// The process is killed when its parent dies, so that a killed test leaves no
	// processes behind.
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := pr.cmd.Start(); err != nil {
		return nil, errors.Join(err, rd.Close(), wr.Close())
	}
	_ = wr.Close()
	go pr.collectOutput(rd, log)
	return pr, nil
}

// collectOutput stores the output lines until the process has ended.
func (pr *Proc) collectOutput(rd io.ReadCloser, log io.Writer) {
	defer close(pr.done)
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		pr.addLine(sc.Text())
		if log != nil {
			_, _ = fmt.Fprintf(log, "%s: %s\n", pr.Name, sc.Text())
		}
	}
	_ = rd.Close()
	pr.err = pr.cmd.Wait()
}

func (pr *Proc) addLine(line string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lines = append(pr.lines, line)
	close(pr.lineAdded)
	pr.lineAdded = make(chan struct{})
}

// WaitLine waits for an output line for which match returns true and returns the
// first one.
func (pr *Proc) WaitLine(ctx context.Context, match func(line string) bool) (string, error) {
	for from := 0; ; {
		pr.mu.Lock()
		lines, lineAdded := pr.lines[from:], pr.lineAdded
		pr.mu.Unlock()
		for _, li := range lines {
			if match(li) {
				return li, nil
			}
		}
		from += len(lines)
		select {
		case <-lineAdded:
		case <-ctx.Done():
			return "", fmt.Errorf("procs: %s: %w", pr.Name, ctx.Err())
		case <-pr.done:
			return "", fmt.Errorf("procs: %s ended: %w; last output: %q", pr.Name, pr.err, pr.Tail(3))
		}
	}
}

// Tail returns the last output lines, at most count.
func (pr *Proc) Tail(count int) []string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return append([]string(nil), pr.lines[max(0, len(pr.lines)-count):]...)
}

// PID returns the process ID.
func (pr *Proc) PID() int { return pr.cmd.Process.Pid }

// Running reports whether the process has not ended. A paused process is running.
func (pr *Proc) Running() bool {
	select {
	case <-pr.done:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits for its end.
func (pr *Proc) Kill() {
	_ = pr.cmd.Process.Signal(syscall.SIGKILL)
	<-pr.done
}

// Pause pauses the process with SIGSTOP.
func (pr *Proc) Pause() error { return pr.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a paused process.
func (pr *Proc) Resume() error { return pr.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate signals the process to stop gracefully.
func (pr *Proc) Terminate() error { return pr.cmd.Process.Signal(syscall.SIGTERM) }

// Stop resumes the process if it is paused, stops it gracefully and returns its
// error. A process that does not stop within stopTimeout is killed.
func (pr *Proc) Stop() error {
	if !pr.Running() {
		return pr.err
	}
	_ = pr.Resume()
	if err := pr.Terminate(); err != nil {
		return err
	}
	ti := time.NewTimer(stopTimeout)
	defer ti.Stop()
	select {
	case <-pr.done:
		return pr.err
	case <-ti.C:
		pr.Kill()
		return fmt.Errorf("procs: %s did not stop within %s", pr.Name, stopTimeout)
	}
}

// Wait waits for the end of the process and returns its error.
func (pr *Proc) Wait() error {
	<-pr.done
	return pr.err
}
