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

// Limits of a witness's requests.
const (
	witnessTries    = 4
	witnessTimeout  = 6 * time.Second
	witnessDeadline = 5 * time.Second
	witnessPause    = 20 * time.Millisecond
	witnessMaxEvent = 1 << 20
)

// witness is a caller that remembers what it was told.
type witness struct {
	runner *faultRunner
	id     int
	random *rand.Rand
	client *http.Client

	whole    int
	refused  int
	billable int64 // tokens of whole answers, each key once
	received int64 // tokens of all pieces, and prompts of whole answers
	wrong    []string
	commands map[string]*command
}

// command is what a witness knows of one service call.
type command struct {
	answers []string
	// sureNot is true while every try said that it did not run.
	sureNot bool
}

func newWitness(s *faultRunner, id int) *witness {
	return &witness{
		runner: s, id: id, random: rand.New(rand.NewPCG(s.seed, uint64(id)+1)),
		client:   &http.Client{Timeout: witnessTimeout},
		commands: make(map[string]*command),
	}
}

// call sends requests until stop is closed.
func (w *witness) call(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(witnessPause):
		}
		if w.random.IntN(3) == 0 {
			w.command(fmt.Sprintf("command-%d-%d", w.id, n))
			continue
		}
		w.question(fmt.Sprintf("question-%d-%d", w.id, n))
	}
}

// try sends a request to some router; nil means that no answer came.
func (w *witness) try(path, body, key string) *http.Response {
	router := w.runner.pick(w.random.IntN(100))
	req, err := http.NewRequest(http.MethodPost, router.Caller+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the path is fixed
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(witnessDeadline.Milliseconds()))
	resp, err := w.client.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

// command sends one call that must not be repeated, at several routers.
func (w *witness) command(key string) {
	c := &command{sureNot: true}
	w.commands[key] = c
	for range witnessTries {
		resp := w.try("/v1/services/"+testService+"/bins/"+key, `{"on":true}`, key)
		if resp == nil {
			c.sureNot = false
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		ran := resp.Header.Get("Daisyslip-Ran")
		if ran != "no" || err != nil {
			c.sureNot = false
		} else {
			w.refused++
		}
		if resp.StatusCode == http.StatusOK && err == nil {
			c.answers = append(c.answers, string(body))
		}
	}
}

// question asks for a streamed completion until it is whole.
func (w *witness) question(key string) {
	maxTokens := 4 + w.random.IntN(30)
	prompt := "What of " + key
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, prompt)
	for range witnessTries {
		resp := w.try(engine.PathChat, body, key)
		if resp == nil {
			continue
		}
		text, usage, whole := w.read(resp)
		if !whole {
			continue
		}
		w.whole++
		w.billable += usage.TotalTokens
		w.received += usage.PromptTokens
		content, _ := json.Marshal(prompt)
		if want := standin.ResponseText([]engine.Message{{Role: "user", Content: content}}, maxTokens); text != want {
			w.wrong = append(w.wrong, fmt.Sprintf("%s: got %q, want %q", key, text, want))
		}
		return
	}
}

// read reads a stream; whole is true if its end marker came.
func (w *witness) read(resp *http.Response) (text string, usage engine.Usage, whole bool) {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if resp.Header.Get("Daisyslip-Ran") == "no" {
			w.refused++
		}
		return "", usage, false
	}
	var answer strings.Builder
	events := sse.NewReader(resp.Body, witnessMaxEvent)
	for {
		data, err := events.Next()
		if err != nil {
			return "", usage, false
		}
		if string(data) == engine.StreamEndMarker {
			return answer.String(), usage, true
		}
		var chunk engine.Chunk
		if json.Unmarshal(data, &chunk) != nil {
			return "", usage, false
		}
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil && chunk.Choices[0].Delta.Content != "" {
			answer.WriteString(chunk.Choices[0].Delta.Content)
			w.received += int64(len(strings.Fields(chunk.Choices[0].Delta.Content)))
		}
	}
}

// mergeWitnesses adds up what all witnesses saw.
func mergeWitnesses(all []*witness) *witness {
	sum := &witness{commands: make(map[string]*command)}
	for _, w := range all {
		sum.whole += w.whole
		sum.refused += w.refused
		sum.billable += w.billable
		sum.received += w.received
		sum.wrong = append(sum.wrong, w.wrong...)
		for key, c := range w.commands {
			sum.commands[key] = c
		}
	}
	return sum
}

// checkAnswers requires that every whole answer is the caller's own.
func (w *witness) checkAnswers(t *testing.T) {
	t.Helper()
	assert.Equal(t, len(w.wrong), 0, strings.Join(w.wrong, "\n"))
	assert.Assert(t, w.whole > 0, "no answer was whole")
}

// checkCommands compares what the witnesses were told with the runs that the
// service has recorded.
func (w *witness) checkCommands(t *testing.T, f *fleet) {
	t.Helper()
	runs := make(map[string]int)
	for _, run := range f.runs() {
		runs[run.IdempotencyKey]++
	}
	for key, c := range w.commands {
		assert.Assert(t, runs[key] <= 1, "%s ran %d times", key, runs[key])
		if c.sureNot {
			assert.Equal(t, runs[key], 0, "%s was said not to have run", key)
		}
		for _, answer := range c.answers {
			assert.Equal(t, answer, c.answers[0], "%s got two answers", key)
			assert.Equal(t, runs[key], 1, "%s was answered and did not run", key)
		}
	}
}
