// Package standin implements small stand-ins for the systems around a router: the
// platform, model engines and plain services. Tests and the development fleet use
// them. Each simulates faults that are set over HTTP, and records or counts what it
// executed.
package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/platformhttp"
)

// maxRequestBytes bounds the bodies that the stand-ins read.
const maxRequestBytes = 64 << 20

// Platform serves a memory.Store over the protocol of package platformhttp. Each
// client, named by the platformhttp.ClientHeader of its requests, has its own
// memory.Client, so that a test can set faults for one client alone. The paths below
// /standin set the faults and the list of VMs, and return the counts of the store.
type Platform struct {
	Store *memory.Store
	mux   *http.ServeMux

	mu               sync.Mutex // guards all below
	storeClients     map[string]*memory.Client
	defaultFaults    memory.Faults
	hasDefaultFaults bool
}

// NewPlatform returns a platform with an empty store and no faults.
func NewPlatform() *Platform {
	p := &Platform{
		Store:        memory.NewStore(clock.Real{}),
		mux:          http.NewServeMux(),
		storeClients: make(map[string]*memory.Client),
	}
	p.mux.HandleFunc("POST "+platformhttp.PathGet, p.get)
	p.mux.HandleFunc("POST "+platformhttp.PathRange, p.scan)
	p.mux.HandleFunc("POST "+platformhttp.PathCommit, p.commit)
	p.mux.HandleFunc("POST "+platformhttp.PathOutcome, p.outcome)
	p.mux.HandleFunc("PUT "+platformhttp.PathObjects+"{name}", p.putObject)
	p.mux.HandleFunc("GET "+platformhttp.PathObjects+"{name}", p.getObject)
	p.mux.HandleFunc("GET "+platformhttp.PathVMs, p.listVMs)
	p.mux.HandleFunc("PUT /standin/faults", p.setAllFaults)
	p.mux.HandleFunc("PUT /standin/faults/{client}", p.setFaults)
	p.mux.HandleFunc("PUT /standin/vms", p.setVMs)
	p.mux.HandleFunc("GET /standin/counts", p.counts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults of one client. If client is empty, it replaces those
// of all clients, including clients that connect later.
func (p *Platform) SetFaults(client string, f memory.Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client != "" {
		p.storeClientLocked(client).SetFaults(f)
		return
	}
	p.defaultFaults, p.hasDefaultFaults = f, true
	for _, storeClient := range p.storeClients {
		storeClient.SetFaults(f)
	}
}

// storeClient returns the memory.Client of the client that sent r.
func (p *Platform) storeClient(r *http.Request) *memory.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeClientLocked(r.Header.Get(platformhttp.ClientHeader))
}

// storeClientLocked returns the memory.Client of a client and creates it on first
// use.
func (p *Platform) storeClientLocked(client string) *memory.Client {
	storeClient := p.storeClients[client]
	if storeClient == nil {
		storeClient = p.Store.NewClient()
		if p.hasDefaultFaults {
			storeClient.SetFaults(p.defaultFaults)
		}
		p.storeClients[client] = storeClient
	}
	return storeClient
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var req platformhttp.GetRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := p.storeClient(r).Get(r.Context(), req.Keys...)
	writeResult(w, platformhttp.RowsResponse{Rows: rows}, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var req platformhttp.RangeRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := p.storeClient(r).Range(r.Context(), req.From, req.To, req.Limit)
	writeResult(w, platformhttp.RowsResponse{Rows: rows}, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	receipt, err := p.storeClient(r).Commit(r.Context(), txn)
	writeResult(w, receipt, err)
}

func (p *Platform) outcome(w http.ResponseWriter, r *http.Request) {
	var req platformhttp.OutcomeRequest
	if !readJSON(w, r, &req) {
		return
	}
	receipt, done, err := p.storeClient(r).Outcome(r.Context(), req.OpID)
	writeResult(w, platformhttp.OutcomeResponse{Done: done, Receipt: receipt}, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, struct{}{}, p.storeClient(r).PutObject(r.Context(), r.PathValue("name"), data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.storeClient(r).GetObject(r.Context(), r.PathValue("name"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	w.Write(data)
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := p.storeClient(r).ListVMs(r.Context())
	writeResult(w, platformhttp.VMList{VMs: vms}, err)
}

func (p *Platform) setAllFaults(w http.ResponseWriter, r *http.Request) {
	var f memory.Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults("", f)
	writeResult(w, f, nil)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f memory.Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(r.PathValue("client"), f)
	writeResult(w, f, nil)
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var list platformhttp.VMList
	if !readJSON(w, r, &list) {
		return
	}
	p.Store.SetVMs(list.VMs)
	writeResult(w, list, nil)
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, p.Store.Counts(), nil)
}

// readJSON decodes the body of r into v. If that fails, it responds with status 400
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, platformhttp.ErrorBody{Kind: platform.KindInvalid, Message: err.Error()})
		return false
	}
	return true
}

// writeResult responds with err if that is a platform.Error, and with v otherwise.
func writeResult(w http.ResponseWriter, v any, err error) {
	var platformErr *platform.Error
	if errors.As(err, &platformErr) {
		writeJSON(w, statusForKind(platformErr.Kind), platformhttp.ErrorBody{Kind: platformErr.Kind, Key: platformErr.Key, Message: platformErr.Error()})
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// statusForKind returns the HTTP status for a kind of platform error. A kind without
// a status of its own gets 503.
func statusForKind(kind platform.Kind) int {
	switch kind {
	case platform.KindConflict:
		return http.StatusConflict
	case platform.KindNotFound:
		return http.StatusNotFound
	case platform.KindInvalid:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
