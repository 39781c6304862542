package pace_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyslip.dev/daisyslip/internal/pace"
)

var start = time.Unix(1000, 0)

// after returns a time in seconds after start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestNext guards against a factor that does not follow how the endpoint responds. Each
// case has samples at equal intervals, in turn, and the bounds of the factor at the end.
func TestNext(t *testing.T) {
	const mean = 100 * time.Millisecond
	fast := pace.Sample{FirstByte: mean, PoolMean: mean}
	slow := pace.Sample{FirstByte: 4 * mean, PoolMean: mean}
	refused := pace.Sample{Refused: true, Running: 2, Slots: 8}
	full := pace.Sample{Refused: true, Running: 6, Waiting: 2, Slots: 8}
	for name, test := range map[string]struct {
		begin    pace.State
		samples  []pace.Sample
		every    float64 // seconds
		until    float64 // seconds
		min, max float64
	}{
		"no evidence grows":                {pace.Low(start), []pace.Sample{{}}, 1, 4, 0.3, 0.35},
		"no evidence reaches 1":            {pace.Low(start), []pace.Sample{{}}, 3, 9, 1, 1},
		"fast responses grow faster":       {pace.Low(start), []pace.Sample{fast}, 0.1, 4.2, 1, 1},
		"many are not faster than few":     {pace.Low(start), []pace.Sample{fast}, 0.001, 2, 0.3, 0.35},
		"refusals hold":                    {pace.Low(start), []pace.Sample{refused}, 0.5, 20, 0.1, 0.15},
		"sparse refusals hold":             {pace.Full(start), []pace.Sample{refused}, 8, 60, 0.1, 0.3},
		"one refusal decreases at once":    {pace.Full(start), []pace.Sample{refused}, 1, 1, 0.3, 0.3},
		"a full endpoint is no refusal":    {pace.Full(start), []pace.Sample{full}, 1, 20, 1, 1},
		"refusal without load":             {pace.Full(start), []pace.Sample{{Refused: true}}, 1, 1, 0.3, 0.3},
		"failures":                         {pace.Full(start), []pace.Sample{{Failed: true}}, 1, 2, 0.1, 0.12},
		"failures at once count once":      {pace.Full(start), []pace.Sample{{Failed: true}}, 0.01, 0.2, 0.3, 0.31},
		"slow responses":                   {pace.Full(start), []pace.Sample{slow}, 1, 20, 0.1, 0.15},
		"one slow response":                {pace.Full(start), []pace.Sample{slow}, 1, 1, 1, 1},
		"slow now and then":                {pace.Full(start), []pace.Sample{fast, slow}, 1, 30, 1, 1},
		"slowness":                         {pace.Full(start), []pace.Sample{{Slowness: 400}}, 1, 20, 0.1, 0.15},
		"usual slowness":                   {pace.Full(start), []pace.Sample{{Slowness: 250}}, 1, 20, 1, 1},
		"flapping stays low":               {pace.Low(start), []pace.Sample{fast, fast, fast, refused}, 1, 60, 0.1, 0.35},
		"requests wait beside free slots":  {pace.Low(start), []pace.Sample{fast, {Running: 2, Waiting: 1, Slots: 8}}, 0.01, 4, 0.3, 0.6},
		"a slower kind of endpoint, 1.7":   {pace.Low(start), []pace.Sample{{FirstByte: mean * 17 / 10, PoolMean: mean}}, 0.5, 9, 1, 1},
		"responses before the mean exists": {pace.Low(start), []pace.Sample{{FirstByte: 9 * mean}}, 0.5, 4, 0.3, 0.35},
		"an ejected endpoint waits":        {pace.Low(after(5)), []pace.Sample{{}}, 1, 4, 0.1, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			s := test.begin
			for i := 1; float64(i)*test.every <= test.until+1e-9; i++ {
				sample := test.samples[(i-1)%len(test.samples)]
				sample.At = after(float64(i) * test.every)
				s = pace.Next(s, sample)
			}
			assert.Check(t, s.Factor >= test.min-1e-9 && s.Factor <= test.max+1e-9, "%+v", s)
		})
	}
}

// TestNextIsBounded guards against factors outside their range, endpoints that stay low
// without contrary evidence, and growth that depends on how often the factor is read,
// after any samples.
func TestNextIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := pace.Low(start), 0.0
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			now += rapid.Float64Range(-0.1, 5).Draw(t, "wait")
			before := s
			sample := pace.Sample{
				At: after(now), Failed: rapid.Bool().Draw(t, "failed"), Refused: rapid.Bool().Draw(t, "refused"),
				FirstByte: time.Duration(rapid.IntRange(-10, 1000).Draw(t, "first")) * time.Millisecond,
				PoolMean:  time.Duration(rapid.IntRange(0, 300).Draw(t, "mean")) * time.Millisecond,
				Running:   rapid.IntRange(0, 9).Draw(t, "running"), Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
			}
			s = pace.Next(s, sample)
			if s.Factor < pace.MinFactor || s.Factor > 1 {
				t.Fatalf("factor of %+v", s)
			}
			if sample.Contrary() == pace.NoCause && s.Factor < before.Factor {
				t.Fatalf("%+v lowers %+v to %+v", sample, before, s)
			}
		}
		often, once := s, pace.Next(s, pace.Sample{At: s.At.Add(5 * time.Second)})
		for range 500 {
			often = pace.Next(often, pace.Sample{At: often.At.Add(10 * time.Millisecond)})
		}
		if math.Abs(often.Factor-once.Factor) > 1e-9 {
			t.Fatalf("%+v after many reads, %+v after one", often, once)
		}
		if s = pace.Next(s, pace.Sample{At: s.At.Add(pace.RampTime + pace.RecoveryTime)}); s.Factor != 1 {
			t.Fatalf("%+v after the bound", s)
		}
	})
}
