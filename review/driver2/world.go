//go:build review2

// Command driver2 plays the script cases of the second review. It serves stand-ins of the
// platform's store, its workers and its clients, and starts routers as the deploy file says.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/platform/standin"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

const (
	host      = "ficu95.example"
	apiKey    = "xd9dnn2ctnfzs989anu6"
	tenant    = "huka270"
	heartbeat = 1200 * time.Millisecond
)

// world has the stand-ins and the routers of one case.
type world struct {
	dir     string // temporary
	store   *standin.Store
	server  *http.Server
	addr    string // of the store
	trouble bool
	// bootstrapped is set once the first machines have started.
	bootstrapped bool
	ctx          context.Context
	stop         context.CancelFunc
	running      sync.WaitGroup
	workers      []*worker
	routers      []*router
	started      time.Time
	recordMu     sync.Mutex
	record       *os.File
}

// newWorld starts the store, writes the configuration, and opens the record in caseDir.
func newWorld(caseDir string, config any) (*world, error) {
	w := &world{store: standin.NewStore(), trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	w.ctx, w.stop = context.WithCancel(context.Background())
	var err error
	if w.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return w, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, err
	}
	w.addr, w.server = listener.Addr().String(), &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	w.running.Go(func() { _ = w.server.Serve(listener) }) // it ends with close
	return w, w.putConfig(config)
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// put writes one row as its owner.
func (w *world) put(table, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = w.store.Commit(w.ctx, rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: table, Name: name}, Value: data}}})
	return err
}

// putConfig writes a configuration as the operator. Its return is the acknowledgement.
func (w *world) putConfig(config any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	err = w.put("op", "config", config)
	w.logf("operator: configuration acknowledged: %s", data)
	return err
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.stop()
	for _, r := range w.routers {
		r.kill()
	}
	for _, x := range w.workers {
		_ = x.server.Close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	w.running.Wait()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// router is one router of the fleet and its present process.
type router struct {
	w                              *world
	name, zone, settings           string
	callers, ready, metrics, peers string
	memoryMB                       int
	log                            *os.File

	mu  sync.Mutex // guards cmd
	cmd *exec.Cmd
}

// freePorts returns n free ports in a row.
func freePorts(ip string, n int) (int, error) {
next:
	for range 200 {
		first, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
			if err != nil {
				continue next
			}
			_ = l.Close()
		}
		return port, nil
	}
	return 0, errors.New("no free ports")
}

// command returns the words of the deploy file's line "run".
func command() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no line run")
}

// startRouter starts a router with the settings of a VM of the small sites, and waits until it is
// ready.
func (w *world) startRouter(name, zone string, memoryMB int) (*router, error) {
	const ip = "127.0.0.1"
	port, err := freePorts(ip, 6)
	if err != nil {
		return nil, err
	}
	r := &router{w: w, name: name, zone: zone, memoryMB: memoryMB, settings: filepath.Join(w.dir, name+".toml")}
	r.callers, r.ready = fmt.Sprintf("%s:%d", ip, port), fmt.Sprintf("%s:%d", ip, port+1)
	text := fmt.Sprintf(`node_name = %q
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "kr-central"
internal_ports = [%d, %d]
bootstrap = %t
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
[listen]
frontend = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recover_s = 12
[platform]
address = %q
form = "table"
`, name, ip, zone, port+2, port+5, !w.bootstrapped, heartbeat.Milliseconds(), r.callers, r.ready, memoryMB, w.addr)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	w.routers = append(w.routers, r)
	return r, r.start()
}

// start starts the process of the router and waits until it is ready.
func (r *router) start() error {
	words, err := command()
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYSLIP_NODE_FILE=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.cmd = cmd
	r.mu.Unlock()
	r.w.logf("router %s: process started", r.name)
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		response, err := http.Get("http://" + r.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.w.logf("router %s: ready", r.name)
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready", r.name)
}

// kill ends the process with SIGKILL and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	cmd := r.cmd
	r.cmd = nil
	r.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
}

// pid returns the id of the process, or 0 without one.
func (r *router) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0
	}
	return r.cmd.Process.Pid
}
