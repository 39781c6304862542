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
	"daisyslip.dev/daisyslip/internal/work"
)

// chat serves a chat completion: it reserves the worst case, runs the
// generation and bills what was used before the caller gets the end of the
// answer.
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

// tokensFor is the reservation of a generation's worst case.
func worstCaseReservation(g *work.Generation) budget.Request {
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

// checkModel refuses a model that no pool serves.
func (s *Server) checkModel(g *work.Generation) error {
	if len(s.deps.Config.Catalog().ForModel(g.Workspace, g.Model)) == 0 {
		return failure.New(failure.NotFound, "find model", "", fmt.Sprintf("no model %q for this workspace; GET /v1/models lists them", g.Model))
	}
	return nil
}

// checkOverrun records an engine that used more than it was allowed to; the
// bill stays within the reservation.
func (s *Server) recordOverrun(g *work.Generation, u work.Usage) {
	if overrun := u.TotalTokens - g.MaxPromptTokens - g.MaxTokens; overrun > 0 {
		s.metrics.overrunTokens.Add(int(overrun))
		s.deps.Events.Record(event.Event{
			Duty: event.DutyBudget, Kind: event.TokensSettled, Request: g.RequestID, Workspace: g.Workspace,
			Tokens: overrun, Detail: "the engine used more than was reserved",
		})
	}
}

// settle bills the usage, also for a caller that has gone.
func (s *Server) settle(ctx context.Context, r budget.Reservation, u work.Usage) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.SettleTimeout)
	defer cancel()
	return r.Settle(ctx, u.TotalTokens)
}

// fail ends a request whose generation failed: what ran is billed, and the
// caller is told.
func (s *Server) fail(ctx context.Context, response *completionWriter, r budget.Reservation, outcome work.Outcome, f *failure.Error) error {
	if outcome.Usage.TotalTokens == 0 {
		r.Cancel()
		return response.fail(f)
	}
	if err := s.settle(ctx, r, outcome.Usage); err != nil {
		s.deps.Log.Warn("Bill of a failed request is late.", "request", response.request.generation.RequestID, "err", err)
	}
	return response.fail(f)
}

// answer writes one completion to its caller, as a stream or whole.
type completionWriter struct {
	server      *Server
	echoContext echo.Context
	request     *chatRequest
	stream      *streamWriter
	text        strings.Builder
}

func (s *Server) newCompletionWriter(c echo.Context, req *chatRequest) *completionWriter {
	return &completionWriter{server: s, echoContext: c, request: req, stream: newStreamWriter(c, s.settings.WriteTimeout)}
}

// piece takes the next piece of the answer; it implements work.Sink.
func (a *completionWriter) writePiece(p work.Piece) error {
	if !a.request.stream {
		a.text.WriteString(p.Text)
		return nil
	}
	return a.stream.writeChunk(a.newChunk(&engine.Delta{Content: p.Text}, nil))
}

// end writes the last piece of a whole answer.
func (a *completionWriter) finish(outcome work.Outcome) error {
	usage := engine.Usage(outcome.Usage)
	if !a.request.stream {
		completion := a.newChunk(nil, &outcome.FinishReason)
		completion.Object = engine.ObjectCompletion
		completion.Choices[0].Message = &engine.Delta{Role: "assistant", Content: a.text.String()}
		completion.Usage = &usage
		a.echoContext.Response().Header().Set(headerRan, string(failure.RanYes))
		return a.echoContext.JSON(http.StatusOK, completion)
	}
	if err := a.stream.writeChunk(a.newChunk(&engine.Delta{}, &outcome.FinishReason)); err != nil {
		return writeFailed(err)
	}
	usageChunk := a.newChunk(nil, nil)
	usageChunk.Choices, usageChunk.Usage = []engine.Choice{}, &usage
	if err := a.stream.writeChunk(usageChunk); err != nil {
		return writeFailed(err)
	}
	if err := a.stream.writeEnd(); err != nil {
		return writeFailed(err)
	}
	return nil
}

// callerGone is the failure of an answer that could not be written.
func writeFailed(err error) error {
	return failure.Wrap(failure.Canceled, "write answer", "caller", err).WithRan(failure.RanYes)
}

// broken ends an answer that cannot be whole. A stream that has begun carries
// the failure as its last event and no end marker.
func (a *completionWriter) fail(f *failure.Error) error {
	if a.stream.headerWritten {
		a.server.metrics.countFailure(f.Code)
		a.stream.writeFailure(a.request.generation.RequestID, f)
	}
	return f
}

func (a *completionWriter) newChunk(delta *engine.Delta, reason *string) engine.Chunk {
	g := &a.request.generation
	return engine.Chunk{
		ID:      engine.ResponseIDPrefix + g.RequestID,
		Object:  engine.ObjectChunk,
		Created: a.stream.created,
		Model:   g.Model,
		Choices: []engine.Choice{{Delta: delta, FinishReason: reason}},
	}
}
