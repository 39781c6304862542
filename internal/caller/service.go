package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/work"
)

// passedHeaders are the caller's headers that reach a plain service.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type", headerKey, "If-Match", "If-None-Match"}

// hiddenHeaders are the service's headers that do not reach the caller: they
// belong to one connection.
var hiddenHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Date"}

// service serves a call of a plain service.
func (s *Server) service(c echo.Context) error {
	call, err := s.decodeCall(c)
	if err != nil {
		return err
	}
	answer, err := s.duties.Calls.Call(c.Request().Context(), call)
	if err != nil {
		return asFailure(err)
	}
	header := c.Response().Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range hiddenHeaders {
		header.Del(name)
	}
	header.Set(headerRan, string(failure.RanYes))
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	c.Response().WriteHeader(answer.Status)
	if _, err := c.Response().Write(answer.Body); err != nil {
		return callerGone(err)
	}
	return nil
}

// decodeCall reads a call from the caller's request.
func (s *Server) decodeCall(c echo.Context) (*work.Call, error) {
	body, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	r := c.Request()
	service := c.Param("service")
	if !s.duties.Config.Catalog().HasService(service) {
		return nil, failure.New(failure.NotFound, "find service", "", fmt.Sprintf("no service %q", service))
	}
	call := &work.Call{
		RequestInfo: sourceOf(c),
		Service:     service,
		Method:      r.Method,
		Path:        "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+service), "/"),
		Query:       r.URL.RawQuery,
		Header:      make(http.Header),
		Body:        body,
		Idempotent:  r.Method == http.MethodGet || r.Method == http.MethodHead,
	}
	for _, name := range passedHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			call.Header[name] = values
		}
	}
	call.Digest = digestCall(call)
	return call, nil
}

// digestCall identifies the content of a call: method, path, query and body.
func digestCall(c *work.Call) string {
	digest := sha256.New()
	fmt.Fprintf(digest, "%s\n%s\n%s\n", c.Method, c.Path, c.Query)
	digest.Write(c.Body)
	return hex.EncodeToString(digest.Sum(nil))
}

// models lists the models that the workspace may use.
func (s *Server) models(c echo.Context) error {
	index := s.duties.Config.Catalog()
	list := engine.ModelList{Object: "list", Data: []engine.Model{}}
	for _, name := range index.Models() {
		if len(index.ForModel(sourceOf(c).Workspace, name)) > 0 {
			list.Data = append(list.Data, modelEntry(name))
		}
	}
	return c.JSON(http.StatusOK, list)
}

// model describes one model that the workspace may use.
func (s *Server) model(c echo.Context) error {
	name := c.Param("model")
	if len(s.duties.Config.Catalog().ForModel(sourceOf(c).Workspace, name)) == 0 {
		return failure.New(failure.NotFound, "find model", "", fmt.Sprintf("no model %q for this workspace", name))
	}
	return c.JSON(http.StatusOK, modelEntry(name))
}

func modelEntry(name string) engine.Model {
	return engine.Model{ID: name, Object: "model", OwnedBy: "daisyslip"}
}
