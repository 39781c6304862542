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
	req.generation.RequestInfo = sourceOf(c)
	if err := s.checkModel(&req.generation); err != nil {
		return err
	}
	ctx := c.Request().Context()
	reservation, err := s.duties.Budgets.Reserve(ctx, tokensFor(&req.generation))
	if err != nil {
		return asFailure(err)
	}
	out := s.newAnswer(c, req)
	outcome, err := s.duties.Generator.Generate(ctx, &req.generation, s.metrics.timedSink(out.piece))
	s.checkOverrun(&req.generation, outcome.Usage)
	if err != nil {
		return s.fail(ctx, out, reservation, outcome, asFailure(err))
	}
	if err := s.settle(ctx, reservation, outcome.Usage); err != nil {
		return out.broken(asFailure(err).WithRan(failure.RanYes))
	}
	s.metrics.answered(outcome.Usage)
	return out.end(outcome)
}

// tokensFor is the reservation of a generation's worst case.
func tokensFor(g *work.Generation) budget.Request {
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
	if len(s.duties.Config.Catalog().ForModel(g.Workspace, g.Model)) == 0 {
		return failure.New(failure.NotFound, "find model", "", fmt.Sprintf("no model %q for this workspace; GET /v1/models lists them", g.Model))
	}
	return nil
}

// checkOverrun records an engine that used more than it was allowed to; the
// bill stays within the reservation.
func (s *Server) checkOverrun(g *work.Generation, u work.Usage) {
	if over := u.TotalTokens - g.MaxPromptTokens - g.MaxTokens; over > 0 {
		s.metrics.overrun.Add(int(over))
		s.duties.Events.Record(event.Event{
			Duty: event.DutyBudget, Kind: event.TokensSettled, Request: g.RequestID, Workspace: g.Workspace,
			Tokens: over, Detail: "the engine used more than was reserved",
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
func (s *Server) fail(ctx context.Context, out *answer, r budget.Reservation, outcome work.Outcome, f *failure.Error) error {
	if outcome.Usage.TotalTokens == 0 {
		r.Cancel()
		return out.broken(f)
	}
	if err := s.settle(ctx, r, outcome.Usage); err != nil {
		s.duties.Log.Warn("Bill of a failed request is late.", "request", out.request.generation.RequestID, "err", err)
	}
	return out.broken(f)
}

// answer writes one completion to its caller, as a stream or whole.
type answer struct {
	server  *Server
	context echo.Context
	request *chatRequest
	writer  *streamWriter
	text    strings.Builder
}

func (s *Server) newAnswer(c echo.Context, req *chatRequest) *answer {
	return &answer{server: s, context: c, request: req, writer: newStreamWriter(c, s.settings.WriteTimeout)}
}

// piece takes the next piece of the answer; it implements work.Sink.
func (a *answer) piece(p work.Piece) error {
	if !a.request.stream {
		a.text.WriteString(p.Text)
		return nil
	}
	return a.writer.chunk(a.chunk(&engine.Delta{Content: p.Text}, nil))
}

// end writes the last piece of a whole answer.
func (a *answer) end(outcome work.Outcome) error {
	usage := engine.Usage(outcome.Usage)
	if !a.request.stream {
		whole := a.chunk(nil, &outcome.FinishReason)
		whole.Object = engine.ObjectCompletion
		whole.Choices[0].Message = &engine.Delta{Role: "assistant", Content: a.text.String()}
		whole.Usage = &usage
		a.context.Response().Header().Set(headerRan, string(failure.RanYes))
		return a.context.JSON(http.StatusOK, whole)
	}
	if err := a.writer.chunk(a.chunk(&engine.Delta{}, &outcome.FinishReason)); err != nil {
		return callerGone(err)
	}
	last := a.chunk(nil, nil)
	last.Choices, last.Usage = []engine.Choice{}, &usage
	if err := a.writer.chunk(last); err != nil {
		return callerGone(err)
	}
	if err := a.writer.done(); err != nil {
		return callerGone(err)
	}
	return nil
}

// callerGone is the failure of an answer that could not be written.
func callerGone(err error) error {
	return failure.Wrap(failure.Canceled, "write answer", "caller", err).WithRan(failure.RanYes)
}

// broken ends an answer that cannot be whole. A stream that has begun carries
// the failure as its last event and no end marker.
func (a *answer) broken(f *failure.Error) error {
	if a.writer.started {
		a.server.metrics.refused(f.Code)
		a.writer.failure(a.request.generation.RequestID, f)
	}
	return f
}

func (a *answer) chunk(delta *engine.Delta, reason *string) engine.Chunk {
	g := &a.request.generation
	return engine.Chunk{
		ID:      engine.ResponseIDPrefix + g.RequestID,
		Object:  engine.ObjectChunk,
		Created: a.writer.created,
		Model:   g.Model,
		Choices: []engine.Choice{{Delta: delta, FinishReason: reason}},
	}
}
