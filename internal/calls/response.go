package calls

import (
	"encoding/json"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/work"
)

func encodeResponse(response *work.Response) []byte {
	data, err := json.Marshal(response)
	if err != nil {
		panic(err) // an Answer always encodes
	}
	return data
}

// decodeAnswer decodes an answer that an earlier call stored.
func decodeResponse(stored []byte) (*work.Response, error) {
	var response work.Response
	if err := json.Unmarshal(stored, &response); err != nil {
		return nil, failure.Wrap(failure.Internal, "decode stored answer", "", err).WithRan(failure.RanYes)
	}
	response.Replayed = true
	return &response, nil
}
