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
	"daisyslip.dev/daisyslip/internal/requests"
)

// forwardedRequestHeaders are the caller's headers that are forwarded to a plain
// service.
var forwardedRequestHeaders = []string{"Accept", "Accept-Language", "Content-Type", headerIdempotencyKey, "If-Match", "If-None-Match"}

// droppedResponseHeaders are the service's headers that are not forwarded to the
// caller, because they apply to one connection only.
var droppedResponseHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Date"}

// service serves a call to a plain service and writes the service's response.
func (s *Server) service(c echo.Context) error {
	call, err := s.decodeCall(c)
	if err != nil {
		return err
	}
	response, err := s.deps.Calls.Call(c.Request().Context(), call)
	if err != nil {
		return asFailure(err)
	}
	header := c.Response().Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range droppedResponseHeaders {
		header.Del(name)
	}
	header.Set(headerRan, string(failure.RanYes))
	if response.Replayed {
		header.Set(headerReplayed, "true")
	}
	c.Response().WriteHeader(response.Status)
	if _, err := c.Response().Write(response.Body); err != nil {
		return writeFailed(err)
	}
	return nil
}

// decodeCall builds the call from the caller's request. Only GET and HEAD count as
// idempotent.
func (s *Server) decodeCall(c echo.Context) (*requests.Call, error) {
	body, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	r := c.Request()
	service := c.Param("service")
	if !s.deps.Config.Catalog().HasService(service) {
		return nil, failure.New(failure.NotFound, "find service", "", fmt.Sprintf("no service %q", service))
	}
	call := &requests.Call{
		RequestInfo: requestInfo(c),
		Service:     service,
		Method:      r.Method,
		Path:        "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+service), "/"),
		Query:       r.URL.RawQuery,
		Header:      make(http.Header),
		Body:        body,
		Idempotent:  r.Method == http.MethodGet || r.Method == http.MethodHead,
	}
	for _, name := range forwardedRequestHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			call.Header[name] = values
		}
	}
	call.Digest = digestCall(call)
	return call, nil
}

// digestCall returns the hex SHA-256 hash of a call's method, path, query and body.
func digestCall(c *requests.Call) string {
	digest := sha256.New()
	fmt.Fprintf(digest, "%s\n%s\n%s\n", c.Method, c.Path, c.Query)
	digest.Write(c.Body)
	return hex.EncodeToString(digest.Sum(nil))
}

// models lists the models that the workspace may use.
func (s *Server) models(c echo.Context) error {
	index := s.deps.Config.Catalog()
	list := engine.ModelList{Object: "list", Data: []engine.Model{}}
	for _, name := range index.Models() {
		if len(index.ForModel(requestInfo(c).Workspace, name)) > 0 {
			list.Data = append(list.Data, modelEntry(name))
		}
	}
	return c.JSON(http.StatusOK, list)
}

// model describes one model that the workspace may use.
func (s *Server) model(c echo.Context) error {
	name := c.Param("model")
	if len(s.deps.Config.Catalog().ForModel(requestInfo(c).Workspace, name)) == 0 {
		return failure.New(failure.NotFound, "find model", "", fmt.Sprintf("no model %q for this workspace", name))
	}
	return c.JSON(http.StatusOK, modelEntry(name))
}

// modelEntry returns the model's entry in the format of the OpenAI API.
func modelEntry(name string) engine.Model {
	return engine.Model{ID: name, Object: "model", OwnedBy: "daisyslip"}
}
