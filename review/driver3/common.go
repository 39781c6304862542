//go:build review3

// Command driver3 plays the script cases of the third review: it starts a router as its own
// process, beside stand-ins of the store, the endpoints and the callers in this one.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, started: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprint(r.file, line)
	fmt.Print(line)
}

// freePorts returns the first of n free ports in a row on the loopback address.
func freePorts(n int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if first+n > 65000 {
			continue
		}
		free := true
		for p := first; p < first+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// router is a router in a process of its own.
type router struct {
	cmd  *exec.Cmd
	port int
	logs *os.File
}

// startRouter starts a router with the command of the deploy file, as one of the first machines of
// the deployment.
func startRouter(dir, storeAddr, vm string) (*router, error) {
	return startRouterWith(dir, vm, func(port int) string { return standin.SettingsFile(storeAddr, vm, port) })
}

// startRouterWith starts a router with the settings that a function returns for its first port.
func startRouterWith(dir, vm string, settingsFor func(port int) string) (*router, error) {
	port, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(dir, vm+".toml")
	if err := os.WriteFile(settings, []byte(settingsFor(port)), 0o600); err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(dir, vm+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("target/daisyslipd", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYSLIP_NODE_FILE=" + settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &router{cmd: cmd, port: port, logs: logs}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/api/readyz", port+1))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return r, nil
		}
	}
	r.stop()
	return nil, errors.New("the router was not ready in 10 s")
}

func (r *router) stop() {
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
	r.logs.Close()
}

// store is a stand-in of the platform's store, with its server.
type store struct {
	*standin.Store
	listener net.Listener
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: standin.NewStore(), listener: l}
	go http.Serve(l, s.Store)
	return s, nil
}

// keepRegistered writes the rows of endpoints each second until ctx ends.
func keepRegistered(ctx context.Context, list ...*standin.Endpoint) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, e := range list {
				_ = e.Register("ready")
			}
		}
	}
}

// answer is how a caller's request ended.
type answer struct {
	status   int
	body     string
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer, connection ended after %.3f s: %v", a.took.Seconds(), a.err)
	}
	return fmt.Sprintf("status %d, complete %v, %d bytes after %.3f s, %v", a.status, a.complete, len(a.body), a.took.Seconds(), a.err)
}

// upload sends a request whose body takes a time to upload in equal pieces, and reads the answer.
func upload(addr, path, id string, deadline time.Duration, body string, takes time.Duration) answer {
	started := time.Now()
	end := func(a answer) answer { a.took = time.Since(started); return a }
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return end(answer{err: err})
	}
	defer c.Close()
	_ = c.SetDeadline(started.Add(deadline + 5*time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Credential: %s\r\nX-Daisyslip-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, standin.SampleHost, id, standin.SampleKey, deadline.Milliseconds(), len(body))
	const pieces = 12
	for i := range pieces {
		time.Sleep(takes / pieces)
		if _, err := io.WriteString(c, body[len(body)*i/pieces:len(body)*(i+1)/pieces]); err != nil {
			return end(answer{err: err})
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return end(answer{err: err})
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return end(answer{status: response.StatusCode, body: strings.TrimSpace(string(data)), complete: err == nil, err: err})
}
