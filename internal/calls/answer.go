package calls

import (
	"encoding/json"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/work"
)

func encodeAnswer(a *work.Response) []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // an Answer always encodes
	}
	return data
}

// decodeAnswer decodes an answer that an earlier call stored.
func decodeAnswer(stored []byte) (*work.Response, error) {
	var answer work.Response
	if err := json.Unmarshal(stored, &answer); err != nil {
		return nil, failure.Wrap(failure.Internal, "decode stored answer", "", err).WithRan(failure.RanYes)
	}
	answer.Replayed = true
	return &answer, nil
}
