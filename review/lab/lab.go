//go:build review

// Package lab has what the scripts of the review share: the platform's store and a
// worker as stand-ins, routers as separate processes, raw clients, and a record of
// what they saw.
package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/platform/standin"
)

// Exit codes of a script.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitFailed = 2 // the case could not run
)

// maxRun bounds a script.
const maxRun = 110 * time.Second

// HeartbeatInterval is the interval at which workers write their entries.
const HeartbeatInterval = 1200 * time.Millisecond

// MemoryMB is the memory of a router's machine, as in the site files.
const MemoryMB = 284

// Lab is one run of a case.
type Lab struct {
	// Trouble is false if the run is the one without the disruption.
	Trouble bool
	Store   *standin.Store
	// StoreAddr is where routers reach the store. It is the store's own address unless
	// a case puts a proxy between them.
	StoreAddr string
	dir       string // temporary
	started   time.Time
	record    *os.File
	mu        sync.Mutex // guards record and broken
	broken    []string
	routers   []*Router
	closers   []func()
}

// Main runs a case in the folder of its script and exits.
func Main(run func(*Lab) error) {
	code, err := play(run)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func play(run func(*Lab) error) (int, error) {
	if len(os.Args) != 2 {
		return ExitFailed, errors.New("usage: PROGRAM FOLDER-OF-THE-CASE")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return ExitFailed, err
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return ExitFailed, err
	}
	defer record.Close()
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", Store: standin.NewStore(), dir: dir, started: time.Now(), record: record}
	defer l.close()
	if l.StoreAddr, err = l.Serve(l.Store); err != nil {
		return ExitFailed, err
	}
	done := make(chan error, 1)
	go func() { done <- run(l) }()
	select {
	case err = <-done:
	case <-time.After(maxRun):
		err = errors.New("the case took too long")
	}
	if err != nil {
		l.Printf("the case could not run: %v", err)
		return ExitFailed, err
	}
	if len(l.broken) > 0 {
		l.Printf("result: the rule was broken, %d times", len(l.broken))
		fmt.Println("broken:", l.broken[0])
		return ExitBroken, nil
	}
	l.Printf("result: the rule held")
	fmt.Println("held")
	return ExitHeld, nil
}

// close ends all that the run has started.
func (l *Lab) close() {
	for _, r := range l.routers {
		r.Kill()
	}
	for _, c := range l.closers {
		c()
	}
}

// OnClose registers a function that is called at the end of the run.
func (l *Lab) OnClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

// Printf writes a line to the record.
func (l *Lab) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Broken records that the rule was broken.
func (l *Lab) Broken(format string, args ...any) {
	l.Printf("BROKEN: "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// Serve serves HTTP on a free port of the loopback interface and returns its address.
func (l *Lab) Serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	l.OnClose(func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// Configure writes a configuration to the store as the operator does.
func (l *Lab) Configure(c standin.Config) error {
	l.Printf("the operator writes configuration %d", c.Version)
	return l.Store.PutConfig(context.Background(), c)
}

// Router is a router in a process of its own.
type Router struct {
	Name, Callers, Ready string
	lab                  *Lab
	settings             string // path of the settings file
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// freePorts returns n successive free ports.
func freePorts(n int) (int, error) {
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := listener.Addr().(*net.TCPAddr).Port
		open := []net.Listener{listener}
		for p := first + 1; p < first+n; p++ {
			next, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(p))
			if err != nil {
				break
			}
			open = append(open, next)
		}
		for _, o := range open {
			_ = o.Close()
		}
		if len(open) == n {
			return first, nil
		}
	}
	return 0, errors.New("no successive free ports")
}

// settingsFile is the platform's settings file, with the bounds of the small sites.
const settingsFile = `node_name = %q
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "mx-pacifico"
internal_ports = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
mazatlan = "mx-pacifico"
puerto-vallarta = "mx-pacifico"
manzanillo = "mx-pacifico"
[listen]
frontend = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recover_s = 12
max_lag_ms = 120
retry_after_s = 8.1
settle_ms = 1500
[platform]
address = %q
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 4.0
part_writes_per_s = 250
row_bytes = 65536
across = true
history_s = 20
`

// Zones are those of the machines.
var Zones = []string{"mazatlan", "puerto-vallarta", "manzanillo"}

// NewRouter writes the settings of a router on a machine of a zone and starts it.
func (l *Lab) NewRouter(name, zone string) (*Router, error) {
	port, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, lab: l, settings: filepath.Join(l.dir, name+".toml"), Callers: "127.0.0.1:" + strconv.Itoa(port), Ready: "127.0.0.1:" + strconv.Itoa(port+1)}
	text := fmt.Sprintf(settingsFile, name, zone, port+2, port+3, HeartbeatInterval.Milliseconds(), port, port+1, MemoryMB, l.StoreAddr)
	if err := os.WriteFile(r.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	l.routers = append(l.routers, r)
	return r, r.Start()
}

// Start starts the process with the command of the deploy file and waits until it is
// ready.
func (r *Router) Start() error {
	log, err := os.OpenFile(filepath.Join(r.lab.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/daisyslipd", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYSLIP_NODE_FILE=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", r.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		r.lab.Printf("%s has ended: %v", r.Name, err)
		close(exited)
	}()
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	for range 200 {
		if r.IsReady() {
			r.lab.Printf("%s is ready, process %d", r.Name, cmd.Process.Pid)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", r.Name)
}

// IsReady asks the router for its readiness, as the balancer does.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + r.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.lab.Printf("%s gets %v", r.Name, s)
		_ = r.cmd.Process.Signal(s) // it may have ended
	}
}

// Exited is closed once the process has ended.
func (r *Router) Exited() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exited
}

// Kill ends the process and waits for its end.
func (r *Router) Kill() {
	r.mu.Lock()
	cmd, exited := r.cmd, r.exited
	r.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
		<-exited
	}
}

// PeakMB returns the greatest resident memory that the process has had, and ResidentMB
// what it has now.
func (r *Router) PeakMB() int { return r.memoryMB("VmHWM:") }

// ResidentMB is described at PeakMB.
func (r *Router) ResidentMB() int { return r.memoryMB("VmRSS:") }

// memoryMB returns a field of the process's status, in MB, or 0 if it has ended.
func (r *Router) memoryMB(field string) int {
	r.mu.Lock()
	pid := r.cmd.Process.Pid
	r.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, field); found {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10
		}
	}
	return 0
}

// Log returns what the router has written.
func (r *Router) Log() string {
	data, _ := os.ReadFile(filepath.Join(r.lab.dir, r.Name+".log"))
	return string(data)
}

// Received is a request that a worker has received.
type Received struct {
	*http.Request
	Body []byte
	ID   string
	Conn net.Conn
}

// Worker is a stand-in of a worker. Handle writes the answer to a request to the
// connection; the connection is closed if it returns an error.
type Worker struct {
	ID, Service string
	Slots       int
	Handle      func(w *Worker, r *Received) error

	lab      *Lab
	listener net.Listener
	born     int64
	mu       sync.Mutex // guards all below
	sequence int64
	state    string
	runs     map[string]int
	stopped  chan struct{}
}

// StartWorker starts a worker, which writes its entry at every heartbeat.
func (l *Lab) StartWorker(w *Worker) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.lab, w.listener, w.born, w.state, w.runs, w.stopped = l, listener, time.Now().UnixMilli(), "ready", make(map[string]int), make(chan struct{})
	if err := w.register(); err != nil {
		return err
	}
	go w.accept()
	go w.beat()
	l.OnClose(func() { close(w.stopped); _ = listener.Close() })
	return nil
}

// register writes the entry of the worker.
func (w *Worker) register() error {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.Service, "address": w.listener.Addr().String(), "zone": "mazatlan", "version": "v1", "slots": w.Slots, "state": w.state,
		"cold_left_ms": 0, "seq": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	_, err = w.lab.Store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "servers", Name: w.ID}, Value: value}}})
	return err
}

// beat writes the entry of the worker until the end of the run.
func (w *Worker) beat() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
			_ = w.register() // the store may be in disruption
		}
	}
}

// accept serves connections until the end of the run.
func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// serve serves one request after another on a connection.
func (w *Worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r := &Received{Request: request, Body: body, ID: request.Header.Get("X-Daisyslip-Attempt-Id"), Conn: c}
		if got := request.Header.Get("X-Daisyslip-Expect-Instance"); got != w.ID {
			_ = w.Answer(r, http.StatusMisdirectedRequest, nil, "X-Daisyslip-Instance-Id: "+w.ID)
			continue
		}
		if err := w.Handle(w, r); err != nil {
			return
		}
	}
}

// Runs records that the worker runs a request and returns how often it has.
func (w *Worker) Runs(r *Received) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.ID]++
	w.lab.Printf("worker %s runs request %s", w.ID, r.ID)
	return w.runs[r.ID]
}

// Stamp is the signature of the worker's answers.
func (w *Worker) Stamp() string { return "3e1b.07." + w.ID }

// Answer writes an answer with its length and the worker's signature.
func (w *Worker) Answer(r *Received, status int, body []byte, header ...string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Server-Stamp: %s\r\n", status, http.StatusText(status), r.ID, w.Stamp())
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := r.Conn.Write(b.Bytes())
	return err
}
