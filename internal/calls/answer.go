package calls

import (
	"encoding/json"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/internal/work"
)

func encodeAnswer(a *work.Answer) []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // an Answer always encodes
	}
	return data
}

// replay returns the answer that an earlier call stored.
func replay(claim once.Claim) (*work.Answer, error) {
	var answer work.Answer
	if err := json.Unmarshal(claim.Stored, &answer); err != nil {
		return nil, failure.Wrap(failure.Internal, "decode stored answer", "", err).WithRan(failure.RanYes)
	}
	answer.Replayed = true
	return &answer, nil
}
