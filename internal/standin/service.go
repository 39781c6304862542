package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/engine"
)

// ServiceFaults are the faults of a plain service. The zero value is healthy.
type ServiceFaults struct {
	// Refuse answers 503 before the call runs, and says that it did not run.
	Refuse bool `json:"refuse,omitempty"`
	// SilentBefore never answers and does not run the call.
	HangBefore bool `json:"silent_before,omitempty"`
	// SilentAfter runs the call and never answers.
	HangAfter bool `json:"silent_after,omitempty"`
	// BreakAfter runs the call and breaks the connection.
	BreakAfter bool `json:"break_after,omitempty"`
	// RedirectAfter runs the call and answers with a redirect to itself.
	RedirectAfter bool `json:"redirect_after,omitempty"`
	// DelayAfter passes between the run and the answer, in nanoseconds in
	// JSON.
	DelayAfter time.Duration `json:"delay_after,omitempty"`
	// Delay passes before the call runs, in nanoseconds in JSON.
	DelayBefore time.Duration `json:"delay,omitempty"`
	// Leaving reports the instance as leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// ServiceRun is one run of a call.
type ServiceExecution struct {
	Number         int       `json:"number"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	IdempotencyKey string    `json:"key"`
	RequestID      string    `json:"caller"`
	Body           string    `json:"body"`
	ExecutedAt     time.Time `json:"at"`
}

// ServiceReply is the body of a service's answer.
type ServiceResponse struct {
	Service   string `json:"service"`
	Execution int    `json:"run"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Echo      string `json:"echo,omitempty"`
}

// Service is a stand-in for a plain service. It runs every call it gets, also
// a repeated one, and records each run.
type Service struct {
	name   string
	mux    *http.ServeMux
	orders orderBook
	checks bool

	mu      sync.Mutex // guards all below
	faults  ServiceFaults
	runs    []ServiceExecution
	running int
}

// NewService returns a stand-in; with checks it refuses orders that carry an
// old fencing number.
func NewService(name string, checks bool) *Service {
	s := &Service{name: name, mux: http.NewServeMux(), checks: checks}
	s.mux.HandleFunc("GET "+engine.PathLoad, s.load)
	s.mux.HandleFunc("POST "+engine.PathOrders, s.order)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("GET /standin/runs", s.getRuns)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the runs so far, in order.
func (s *Service) Executions() []ServiceExecution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceExecution(nil), s.runs...)
}

// RunsOf returns how many times calls with this idempotency key ran.
func (s *Service) ExecutionCount(key string) int {
	n := 0
	for _, run := range s.Executions() {
		if run.IdempotencyKey == key {
			n++
		}
	}
	return n
}

// Orders returns the orders that the service has carried out, in order.
func (s *Service) Orders() []engine.Order { return s.orders.done() }

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
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
	result := s.orders.accept(o, s.checks)
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

// serve runs one call.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.enter()
	defer s.leave()
	pause(r.Context(), faults.DelayBefore)
	switch {
	case faults.Refuse:
		w.Header().Set("Daisyslip-Ran", "no")
		http.Error(w, "service refuses work", http.StatusServiceUnavailable)
		return
	case faults.HangBefore:
		<-r.Context().Done()
		return
	}
	run := s.run(r, body)
	switch {
	case faults.BreakAfter:
		panic(http.ErrAbortHandler)
	case faults.HangAfter:
		<-r.Context().Done()
		return
	}
	pause(r.Context(), faults.DelayAfter)
	if faults.RedirectAfter {
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	writeJSON(w, http.StatusOK, ServiceResponse{Service: s.name, Execution: run.Number, Method: r.Method, Path: r.URL.Path, Echo: string(body)})
}

func (s *Service) enter() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// run records that the call ran.
func (s *Service) run(r *http.Request, body []byte) ServiceExecution {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := ServiceExecution{
		Number:         len(s.runs) + 1,
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		RequestID:      r.Header.Get(engine.RequestIDHeader),
		Body:           string(body),
		ExecutedAt:     time.Now(),
	}
	s.runs = append(s.runs, run)
	return run
}
