package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// TestDecodeEnvelopeIgnoresUnknownFields guards against routers that reject messages of
// a later release, which may add fields without a new protocol version.
func TestDecodeEnvelopeIgnoresUnknownFields(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: protocolVersion, 2: 7, 3: "echo", 4: map[int]any{1: 5}, 6: []byte("x"), 99: "later"})
	assert.NilError(t, err)
	e, err := decodeEnvelope(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, *e, envelope{Version: protocolVersion, ID: 7, Kind: "echo", Stamp: hlc.Time{Wall: 5}, Body: []byte("x")})
}

// TestDecodeEnvelopeRejectsMalformed guards against accepting a message of another
// protocol version or without an id.
func TestDecodeEnvelopeRejectsMalformed(t *testing.T) {
	for name, e := range map[string]envelope{"version": {Version: 9, ID: 1}, "id": {Version: protocolVersion}} {
		data, err := cbor.Marshal(e)
		assert.NilError(t, err)
		_, err = decodeEnvelope(data)
		assert.Assert(t, err != nil, name)
	}
}

// FuzzEnvelope checks that no input makes the decoder panic, and that an envelope
// that was decoded is unchanged after it is encoded and decoded again.
func FuzzEnvelope(f *testing.F) {
	for _, e := range []envelope{
		{Version: protocolVersion, ID: 1, Kind: "echo", Body: []byte("hi"), TimeoutMS: 5},
		{Version: protocolVersion, ID: 2, Fault: &fault{Code: failure.Conflict, Message: "m"}},
	} {
		data, err := cbor.Marshal(e)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeEnvelope(data)
		if err != nil {
			return
		}
		reencoded, err := cbor.Marshal(e)
		assert.NilError(t, err)
		redecoded, err := decodeEnvelope(reencoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, e, redecoded)
	})
}

// FuzzHandshake checks that no hello or proof makes the decoders panic.
func FuzzHandshake(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		decodeHello(data)
		var s proofMessage
		decMode.Unmarshal(data, &s)
	})
}
