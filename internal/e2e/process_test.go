// Package e2e tests the binaries as separate processes over TCP.
package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/settings"
)

// binaries holds the paths of the programs under test.
var binaries struct{ daemon, cli string }

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "daisyslip-e2e-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries.daemon = filepath.Join(dir, "daisyslipd")
	binaries.cli = filepath.Join(dir, "daisyslip")
	build := exec.Command("go", "build", "-o", dir, "../../cmd/daisyslipd", "../../cmd/daisyslip")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// process is a program started by a test.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	out  *bufio.Scanner
	done chan error
	log  *testLog
}

// start starts a program; it is killed at the end of the test if it still
// runs.
func start(t *testing.T, path string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(path, args...)
	log := &testLog{t: t, name: filepath.Base(path) + " " + args[0]}
	cmd.Stderr = log
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	p := &process{t: t, cmd: cmd, out: bufio.NewScanner(stdout), done: make(chan error, 1), log: log}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// line decodes the next line of standard output.
func (p *process) line(v any) {
	p.t.Helper()
	assert.Assert(p.t, p.out.Scan(), "the program printed nothing: %v", p.out.Err())
	assert.NilError(p.t, json.Unmarshal(p.out.Bytes(), v), p.out.Text())
}

// signal sends a signal.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s))
}

// wait waits for the end and returns the exit code.
func (p *process) wait() int {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Minute)
	defer cancel()
	go func() { p.done <- p.cmd.Wait() }()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-ctx.Done():
		p.t.Fatal("the program did not end")
		return -1
	}
}

// testLog passes a program's standard error to the test's log and keeps it.
type testLog struct {
	t    *testing.T
	name string

	mu   sync.Mutex // guards text
	text strings.Builder
}

// String returns what the program has written so far.
func (l *testLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Write implements io.Writer.
func (l *testLog) Write(data []byte) (int, error) {
	l.t.Logf("%s: %s", l.name, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, s map[string]any) string {
	t.Helper()
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	_, err = settings.Load(path)
	assert.NilError(t, err)
	return path
}
