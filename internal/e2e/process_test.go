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

// binaries holds the paths of the programs under test, built by TestMain.
var binaries struct{ daemon, cli string }

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(buildAndRunTests(m))
}

// buildAndRunTests builds the programs in a temporary directory, runs the tests and
// returns their exit code.
func buildAndRunTests(m *testing.M) int {
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

// process is a running program started by a test.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	stdout *bufio.Scanner
	exited chan error
	log    *testLog
}

// startProcess starts the program at path. At the end of the test it is killed if it
// still runs.
func startProcess(t *testing.T, path string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(path, args...)
	log := &testLog{t: t, name: filepath.Base(path) + " " + args[0]}
	cmd.Stderr = log
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	p := &process{t: t, cmd: cmd, stdout: bufio.NewScanner(stdout), exited: make(chan error, 1), log: log}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// decodeLine decodes the next line of standard output as JSON into v.
func (p *process) decodeLine(v any) {
	p.t.Helper()
	assert.Assert(p.t, p.stdout.Scan(), "the program printed nothing: %v", p.stdout.Err())
	assert.NilError(p.t, json.Unmarshal(p.stdout.Bytes(), v), p.stdout.Text())
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s))
}

// wait waits until the process exits and returns its exit code. It fails the test
// after a minute.
func (p *process) wait() int {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Minute)
	defer cancel()
	go func() { p.exited <- p.cmd.Wait() }()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-ctx.Done():
		p.t.Fatal("the program did not exit within a minute")
		return -1
	}
}

// testLog copies a program's standard error to the test's log and retains it.
type testLog struct {
	t    *testing.T
	name string

	mu     sync.Mutex // guards output
	output strings.Builder
}

// String returns what the program has written so far.
func (l *testLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.output.String()
}

// Write implements io.Writer.
func (l *testLog) Write(data []byte) (int, error) {
	l.t.Logf("%s: %s", l.name, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.output.Write(data)
}

// writeSettings writes a settings file, checks that it loads and returns its path.
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
