package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/requests"
)

// chat serves a chat completion. It reserves the most tokens that the request can
// use, runs the generation and settles the reservation with the tokens used. The
// end of the response is sent only after the reservation has been settled.
func (s *Server) chat(c echo.Context) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	req, err := s.settings.decodeChat(body)
	if err != nil {
		return err
	}
	req.generation.RequestInfo = requestInfo(c)
	if err := s.checkModel(&req.generation); err != nil {
		return err
	}
	ctx := c.Request().Context()
	reservation, err := s.deps.Budgets.Reserve(ctx, worstCaseReservation(&req.generation))
	if err != nil {
		return asFailure(err)
	}
	response := s.newCompletionWriter(c, req)
	outcome, err := s.deps.Generator.Generate(ctx, &req.generation, s.metrics.timedSink(response.writePiece))
	s.recordOverrun(&req.generation, outcome.Usage)
	if err != nil {
		return s.fail(ctx, response, reservation, outcome, asFailure(err))
	}
	if err := s.settle(ctx, reservation, outcome.Usage); err != nil {
		return response.fail(asFailure(err).WithRan(failure.RanYes))
	}
	s.metrics.countResponse(outcome.Usage)
	return response.finish(outcome)
}

// worstCaseReservation returns the reservation for the most tokens that a
// generation can use. Its key is the caller's idempotency key if there is one,
// otherwise the request id.
func worstCaseReservation(g *requests.Generation) budget.Request {
	key := "request:" + g.RequestID
	if g.IdempotencyKey != "" {
		key = "key:" + g.IdempotencyKey
	}
	return budget.Request{
		Account: budget.Account{Workspace: g.Workspace, Budget: g.Budget},
		Key:     key,
		ID:      g.RequestID,
		Digest:  g.Digest,
		Unique:  g.IdempotencyKey == "",
		Tokens:  g.MaxPromptTokens + g.MaxTokens,
	}
}

// checkModel returns a NotFound failure if no pool serves the model to the
// workspace.
func (s *Server) checkModel(g *requests.Generation) error {
	if len(s.deps.Config.Catalog().ForModel(g.Workspace, g.Model)) == 0 {
		return failure.New(failure.NotFound, "find model", "", fmt.Sprintf("no model %q for this workspace; GET /v1/models lists them", g.Model))
	}
	return nil
}

// recordOverrun counts and records the tokens that an engine used beyond the
// reservation. They are not billed: the bill stays within the reservation.
func (s *Server) recordOverrun(g *requests.Generation, u requests.Usage) {
	if overrun := u.TotalTokens - g.MaxPromptTokens - g.MaxTokens; overrun > 0 {
		s.metrics.overrunTokens.Add(int(overrun))
		s.deps.Events.Record(event.Event{
			Component: event.ComponentBudget, Kind: event.TokensSettled, Request: g.RequestID, Workspace: g.Workspace,
			Tokens: overrun, Detail: "the engine used more than was reserved",
		})
	}
}

// settle settles the reservation with the tokens used. It does so within
// SettleTimeout even if the caller has disconnected.
func (s *Server) settle(ctx context.Context, r budget.Reservation, u requests.Usage) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.SettleTimeout)
	defer cancel()
	return r.Settle(ctx, u.TotalTokens)
}

// fail ends a request whose generation failed. Tokens that were used are billed,
// otherwise the reservation is canceled; then the failure is sent to the caller.
func (s *Server) fail(ctx context.Context, response *completionWriter, r budget.Reservation, outcome requests.Outcome, f *failure.Error) error {
	if outcome.Usage.TotalTokens == 0 {
		r.Cancel()
		return response.fail(f)
	}
	if err := s.settle(ctx, r, outcome.Usage); err != nil {
		s.deps.Log.Warn("could not confirm the bill of a failed request in time", "request", response.request.generation.RequestID, "err", err)
	}
	return response.fail(f)
}

// completionWriter writes one completion to its caller, as a stream of events or
// as one JSON object, depending on the request.
type completionWriter struct {
	server      *Server
	echoContext echo.Context
	request     *chatRequest
	events      *streamWriter
	text        strings.Builder
}

// newCompletionWriter returns a writer for the response to req.
func (s *Server) newCompletionWriter(c echo.Context, req *chatRequest) *completionWriter {
	return &completionWriter{server: s, echoContext: c, request: req, events: newStreamWriter(c, s.settings.WriteTimeout)}
}

// writePiece streams the next piece of text, or buffers it if the response is not
// streamed. It is used as a requests.Sink.
func (w *completionWriter) writePiece(p requests.Piece) error {
	if !w.request.stream {
		w.text.WriteString(p.Text)
		return nil
	}
	return w.events.writeChunk(w.newChunk(&engine.Delta{Content: p.Text}, nil))
}

// finish writes the end of a complete response: the finish reason, the usage and
// the end marker of a stream, or the whole JSON object.
func (w *completionWriter) finish(outcome requests.Outcome) error {
	usage := engine.Usage(outcome.Usage)
	if !w.request.stream {
		completion := w.newChunk(nil, &outcome.FinishReason)
		completion.Object = engine.ObjectCompletion
		completion.Choices[0].Message = &engine.Delta{Role: "assistant", Content: w.text.String()}
		completion.Usage = &usage
		w.echoContext.Response().Header().Set(headerRan, string(failure.RanYes))
		return w.echoContext.JSON(http.StatusOK, completion)
	}
	if err := w.events.writeChunk(w.newChunk(&engine.Delta{}, &outcome.FinishReason)); err != nil {
		return writeFailed(err)
	}
	usageChunk := w.newChunk(nil, nil)
	usageChunk.Choices, usageChunk.Usage = []engine.Choice{}, &usage
	if err := w.events.writeChunk(usageChunk); err != nil {
		return writeFailed(err)
	}
	if err := w.events.writeEnd(); err != nil {
		return writeFailed(err)
	}
	return nil
}

// writeFailed returns the failure for a response that could not be written because
// the caller has disconnected or reads too slowly.
func writeFailed(err error) error {
	return failure.Wrap(failure.Canceled, "write answer", "caller", err).WithRan(failure.RanYes)
}

// fail ends a response that cannot be completed and returns f. A stream that has
// started ends with the failure as its last event and without an end marker;
// otherwise the error handler writes the failure as the whole response.
func (w *completionWriter) fail(f *failure.Error) error {
	if w.events.headerWritten {
		w.server.metrics.countFailure(f.Code)
		w.events.writeFailure(w.request.generation.RequestID, f)
	}
	return f
}

// newChunk returns a chunk with one choice and the fields that all chunks of the
// response share.
func (w *completionWriter) newChunk(delta *engine.Delta, reason *string) engine.Chunk {
	g := &w.request.generation
	return engine.Chunk{
		ID:      engine.ResponseIDPrefix + g.RequestID,
		Object:  engine.ObjectChunk,
		Created: w.events.created,
		Model:   g.Model,
		Choices: []engine.Choice{{Delta: delta, FinishReason: reason}},
	}
}
