package calls

import (
	"encoding/json"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/requests"
)

// encodeResponse encodes a response for its record in the store.
func encodeResponse(response *requests.Response) []byte {
	data, err := json.Marshal(response)
	if err != nil {
		panic(err) // cannot happen: every Response can be encoded
	}
	return data
}

// decodeResponse decodes the response that an earlier call stored, and marks it as
// replayed. If decoding fails, the error still states that the call was executed.
func decodeResponse(stored []byte) (*requests.Response, error) {
	var response requests.Response
	if err := json.Unmarshal(stored, &response); err != nil {
		return nil, failure.Wrap(failure.Internal, "decode stored answer", "", err).WithRan(failure.RanYes)
	}
	response.Replayed = true
	return &response, nil
}
