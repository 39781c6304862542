package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/sse"
	"daisyslip.dev/daisyslip/internal/standin"
)

// Limits of the requests of a recordingCaller.
const (
	callerMaxAttempts     = 4 // per idempotency key
	callerTimeout         = 6 * time.Second
	callerDeadline        = 5 * time.Second
	callerRequestInterval = 20 * time.Millisecond
	callerMaxEventBytes   = 1 << 20
)

// recordingCaller sends random requests to live routers and records the responses,
// so that a test can compare them with what the endpoints and the budget recorded.
type recordingCaller struct {
	injector *faultInjector
	id       int
	random   *rand.Rand
	client   *http.Client

	completed      int      // complete streamed responses
	notExecuted    int      // responses that reported that the request was not executed
	billableTokens int64    // tokens of complete responses, each key once
	receivedTokens int64    // tokens of all stream pieces, and prompts of complete responses
	mismatches     []string // complete responses that differ from the expected text
	commands       map[string]*commandRecord
}

// commandRecord holds the responses to one service call, over all attempts.
type commandRecord struct {
	// responses are the bodies of the responses with status 200.
	responses []string
	// alwaysNotExecuted is true if every attempt got a response which reported
	// that the call was not executed.
	alwaysNotExecuted bool
}

func newRecordingCaller(injector *faultInjector, id int) *recordingCaller {
	return &recordingCaller{
		injector: injector, id: id, random: rand.New(rand.NewPCG(injector.seed, uint64(id)+1)),
		client:   &http.Client{Timeout: callerTimeout},
		commands: make(map[string]*commandRecord),
	}
}

// run sends commands and completion requests at random until stop is closed.
func (rc *recordingCaller) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callerRequestInterval):
		}
		if rc.random.IntN(3) == 0 {
			rc.sendCommand(fmt.Sprintf("command-%d-%d", rc.id, n))
			continue
		}
		rc.requestCompletion(fmt.Sprintf("question-%d-%d", rc.id, n))
	}
}

// send sends a request to a random live router. It returns nil if no response
// arrived.
func (rc *recordingCaller) send(path, body, key string) *http.Response {
	router := rc.injector.pickRouter(rc.random.IntN(100))
	req, err := http.NewRequest(http.MethodPost, router.Caller+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the path is fixed
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := rc.client.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

// sendCommand sends the same call several times, to random routers, and records the
// responses. The call must execute at most once.
func (rc *recordingCaller) sendCommand(key string) {
	record := &commandRecord{alwaysNotExecuted: true}
	rc.commands[key] = record
	for range callerMaxAttempts {
		resp := rc.send("/v1/services/"+testService+"/bins/"+key, `{"on":true}`, key)
		if resp == nil {
			record.alwaysNotExecuted = false
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		reportedExecution := resp.Header.Get("Daisyslip-Ran")
		if reportedExecution != "no" || err != nil {
			record.alwaysNotExecuted = false
		} else {
			rc.notExecuted++
		}
		if resp.StatusCode == http.StatusOK && err == nil {
			record.responses = append(record.responses, string(body))
		}
	}
}

// requestCompletion requests a streamed completion until a response is complete or
// callerMaxAttempts is reached, and compares the text with the expected one.
func (rc *recordingCaller) requestCompletion(key string) {
	maxTokens := 4 + rc.random.IntN(30)
	prompt := "What of " + key
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, prompt)
	for range callerMaxAttempts {
		resp := rc.send(engine.PathChat, body, key)
		if resp == nil {
			continue
		}
		text, usage, complete := rc.readStream(resp)
		if !complete {
			continue
		}
		rc.completed++
		rc.billableTokens += usage.TotalTokens
		rc.receivedTokens += usage.PromptTokens
		content, _ := json.Marshal(prompt)
		if want := standin.ResponseText([]engine.Message{{Role: "user", Content: content}}, maxTokens); text != want {
			rc.mismatches = append(rc.mismatches, fmt.Sprintf("%s: got %q, want %q", key, text, want))
		}
		return
	}
}

// readStream reads a streamed response; complete is true if the end marker arrived.
func (rc *recordingCaller) readStream(resp *http.Response) (text string, usage engine.Usage, complete bool) {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if resp.Header.Get("Daisyslip-Ran") == "no" {
			rc.notExecuted++
		}
		return "", usage, false
	}
	var response strings.Builder
	events := sse.NewReader(resp.Body, callerMaxEventBytes)
	for {
		data, err := events.Next()
		if err != nil {
			return "", usage, false
		}
		if string(data) == engine.StreamEndMarker {
			return response.String(), usage, true
		}
		var chunk engine.Chunk
		if json.Unmarshal(data, &chunk) != nil {
			return "", usage, false
		}
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil && chunk.Choices[0].Delta.Content != "" {
			response.WriteString(chunk.Choices[0].Delta.Content)
			rc.receivedTokens += int64(len(strings.Fields(chunk.Choices[0].Delta.Content)))
		}
	}
}

// mergeRecordings adds up the records of all callers.
func mergeRecordings(callers []*recordingCaller) *recordingCaller {
	merged := &recordingCaller{commands: make(map[string]*commandRecord)}
	for _, caller := range callers {
		merged.completed += caller.completed
		merged.notExecuted += caller.notExecuted
		merged.billableTokens += caller.billableTokens
		merged.receivedTokens += caller.receivedTokens
		merged.mismatches = append(merged.mismatches, caller.mismatches...)
		for key, record := range caller.commands {
			merged.commands[key] = record
		}
	}
	return merged
}

// checkResponses requires that at least one response was complete and that every
// complete response had the expected text.
func (rc *recordingCaller) checkResponses(t *testing.T) {
	t.Helper()
	assert.Equal(t, len(rc.mismatches), 0, strings.Join(rc.mismatches, "\n"))
	assert.Assert(t, rc.completed > 0, "no response was complete")
}

// checkCommands compares the responses that the callers received with the
// executions that the service has recorded: at most one for each key, none for a
// call that was always reported as not executed, and exactly one, with the same
// response each time, for a call that got a response.
func (rc *recordingCaller) checkCommands(t *testing.T, f *fleet) {
	t.Helper()
	executions := make(map[string]int)
	for _, execution := range f.executions() {
		executions[execution.IdempotencyKey]++
	}
	for key, record := range rc.commands {
		assert.Assert(t, executions[key] <= 1, "%s was executed %d times", key, executions[key])
		if record.alwaysNotExecuted {
			assert.Equal(t, executions[key], 0, "%s was always reported as not executed", key)
		}
		for _, response := range record.responses {
			assert.Equal(t, response, record.responses[0], "%s got two different responses", key)
			assert.Equal(t, executions[key], 1, "%s got a response and was not executed", key)
		}
	}
}
