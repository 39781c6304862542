package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
)

// TestDecodeChatForwardsOptions guards against options of the caller that are lost,
// and against fields that the router controls being forwarded from the caller.
func TestDecodeChatForwardsOptions(t *testing.T) {
	body := `{"model":"m","messages":[{"role":"user","content":"hello there"}],"temperature":0.5,"priority":-9,"continue_final_message":true,"max_tokens":7}`
	req, err := DefaultSettings().decodeChat([]byte(body))
	assert.NilError(t, err)
	assert.Equal(t, string(req.generation.Options), `{"temperature":0.5}`)
	assert.Equal(t, req.generation.MaxTokens, int64(7))
	assert.Assert(t, req.generation.MaxPromptTokens >= int64(len("hello there")))
}

// TestDecodeChatDefaultMaximum guards against a request without a limit on generated
// tokens: DefaultMaxTokens must apply to it.
func TestDecodeChatDefaultMaximum(t *testing.T) {
	s := DefaultSettings()
	req, err := s.decodeChat([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	assert.NilError(t, err)
	assert.Equal(t, req.generation.MaxTokens, s.DefaultMaxTokens)
}

// FuzzDecodeChat checks that any body is either refused as a bad request or
// decoded into a request whose token bounds are valid and whose messages and
// options are valid JSON.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true}`))
	f.Add([]byte(`{"model":"m","MESSAGES":[{}],"messages":[{"role":"a"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"a"}],"MESSAGES":[]}`))
	f.Add([]byte(`null`))
	s := DefaultSettings()
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := s.decodeChat(body)
		if err != nil {
			assert.Equal(t, failure.CodeOf(err), failure.BadRequest)
			return
		}
		g := &req.generation
		assert.Assert(t, g.MaxTokens > 0 && g.MaxTokens <= s.MaxTokens)
		assert.Assert(t, g.MaxPromptTokens >= int64(len(g.Messages)))
		assert.Assert(t, json.Valid(g.Messages) && json.Valid(g.Options))
	})
}

// TestReadBodyTimesOutOnSilentSender guards against a caller that occupies a
// request for longer than BodyTimeout by never completing its body.
func TestReadBodyTimesOutOnSilentSender(t *testing.T) {
	s := DefaultSettings()
	s.BodyTimeout = 50 * time.Millisecond
	server := &Server{settings: s}
	result := make(chan error, 1)
	e := echo.New()
	e.POST("/", func(c echo.Context) error {
		_, err := server.readBody(c)
		result <- err
		return c.NoContent(http.StatusOK)
	})
	listener := httptest.NewServer(e)
	defer listener.Close()
	reader, writer := newSilentBody()
	defer writer.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, listener.URL, reader)
	assert.NilError(t, err)
	req.ContentLength = 100
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
	}()
	assert.Equal(t, failure.CodeOf(<-result), failure.BadRequest)
}

// TestReadBodyRefusesTruncatedBody checks that a read error in the middle of the
// body is reported as a bad request.
func TestReadBodyRefusesTruncatedBody(t *testing.T) {
	server := &Server{settings: DefaultSettings()}
	recorder := httptest.NewRecorder()
	body := iotest.TimeoutReader(bytes.NewReader(make([]byte, 10)))
	c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", body), &deadlineRecorder{recorder})
	_, err := server.readBody(c)
	assert.Equal(t, failure.CodeOf(err), failure.BadRequest)
}
