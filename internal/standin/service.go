package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/engine"
)

// ServiceFaults are the faults that a plain service simulates. The zero value has
// none. Durations are in nanoseconds in JSON.
type ServiceFaults struct {
	// Refuse responds with status 503 without executing the call, and with a
	// header that says that the call was not executed.
	Refuse bool `json:"refuse,omitempty"`
	// HangBefore neither executes the call nor responds.
	HangBefore bool `json:"silent_before,omitempty"`
	// HangAfter executes the call and never responds.
	HangAfter bool `json:"silent_after,omitempty"`
	// BreakAfter executes the call and aborts the connection.
	BreakAfter bool `json:"break_after,omitempty"`
	// RedirectAfter executes the call and responds with a redirect to the same
	// path.
	RedirectAfter bool `json:"redirect_after,omitempty"`
	// DelayAfter is the time between the execution and the response.
	DelayAfter time.Duration `json:"delay_after,omitempty"`
	// DelayBefore is the time between the arrival of the call and its execution.
	DelayBefore time.Duration `json:"delay,omitempty"`
	// Leaving reports the instance as leaving in its load reports.
	Leaving bool `json:"leaving,omitempty"`
}

// ServiceExecution is one execution of a call. Number counts the executions of the
// service, from 1.
type ServiceExecution struct {
	Number         int       `json:"number"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	IdempotencyKey string    `json:"key"`
	RequestID      string    `json:"caller"`
	Body           string    `json:"body"`
	ExecutedAt     time.Time `json:"at"`
}

// ServiceResponse is the body of a service's response. Execution is the number of
// the execution, and Echo the body of the request.
type ServiceResponse struct {
	Service   string `json:"service"`
	Execution int    `json:"run"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Echo      string `json:"echo,omitempty"`
}

// Service is a stand-in for a plain service. It executes every call that it receives,
// including a retried one with the same idempotency key, and records each execution,
// so that tests can detect calls that were executed twice. It is an http.Handler:
// /standin/faults and /standin/runs are for tests, the paths of load reports and
// orders for routers, and every other request is a call.
type Service struct {
	name          string
	mux           *http.ServeMux
	orders        orderBook
	checksFencing bool

	mu         sync.Mutex // guards all below
	faults     ServiceFaults
	executions []ServiceExecution
	running    int
}

// NewService returns a service without faults. With checksFencing it refuses an
// order whose fencing number is below the highest that it has accepted.
func NewService(name string, checksFencing bool) *Service {
	s := &Service{name: name, mux: http.NewServeMux(), checksFencing: checksFencing}
	s.mux.HandleFunc("GET "+engine.PathLoad, s.load)
	s.mux.HandleFunc("POST "+engine.PathOrders, s.order)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("GET /standin/runs", s.getExecutions)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the service's faults, for calls that arrive later.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns all executions so far, in order.
func (s *Service) Executions() []ServiceExecution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceExecution(nil), s.executions...)
}

// ExecutionCount returns how many times calls with the idempotency key were
// executed.
func (s *Service) ExecutionCount(idempotencyKey string) int {
	n := 0
	for _, execution := range s.Executions() {
		if execution.IdempotencyKey == idempotencyKey {
			n++
		}
	}
	return n
}

// Orders returns the orders that the service has accepted, in order, each id once.
func (s *Service) Orders() []engine.Order { return s.orders.acceptedOrders() }

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}

func (s *Service) getExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Executions())
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := engine.Load{Running: s.running, Leaving: s.faults.Leaving || s.orders.isDraining(), ReportedAt: time.Now()}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	result := s.orders.accept(o, s.checksFencing)
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

// serve handles one call, with the faults that were set when it arrived.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.startCall()
	defer s.endCall()
	sleep(r.Context(), faults.DelayBefore)
	switch {
	case faults.Refuse:
		w.Header().Set("Daisyslip-Ran", "no")
		http.Error(w, "service refuses work", http.StatusServiceUnavailable)
		return
	case faults.HangBefore:
		<-r.Context().Done()
		return
	}
	execution := s.execute(r, body)
	switch {
	case faults.BreakAfter:
		panic(http.ErrAbortHandler)
	case faults.HangAfter:
		<-r.Context().Done()
		return
	}
	sleep(r.Context(), faults.DelayAfter)
	if faults.RedirectAfter {
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	writeJSON(w, http.StatusOK, ServiceResponse{Service: s.name, Execution: execution.Number, Method: r.Method, Path: r.URL.Path, Echo: string(body)})
}

// startCall counts a call as running and returns the faults that apply to it.
func (s *Service) startCall() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

// endCall ends the count that startCall began.
func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// execute records an execution of a call and returns the record.
func (s *Service) execute(r *http.Request, body []byte) ServiceExecution {
	s.mu.Lock()
	defer s.mu.Unlock()
	execution := ServiceExecution{
		Number:         len(s.executions) + 1,
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		RequestID:      r.Header.Get(engine.RequestIDHeader),
		Body:           string(body),
		ExecutedAt:     time.Now(),
	}
	s.executions = append(s.executions, execution)
	return execution
}
