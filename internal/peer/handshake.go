package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"daisyslip.dev/daisyslip/coord/bus"
)

// Bounds of the handshake.
const (
	nonceBytes        = 32
	maxHandshakeBytes = 4 << 10
)

// Labels keep a proof of one side from being played back as the other's.
const (
	labelServer = "daisyslip peer server"
	labelClient = "daisyslip peer client"
)

// errSecret says that the other side could not prove that it knows the secret.
var errWrongSecret = errors.New("the other side does not know the secret of this fleet")

// hello opens the handshake in each direction.
type hello struct {
	Version uint8    `cbor:"1,keyasint"`
	Peer    bus.Peer `cbor:"2,keyasint"`
	Nonce   []byte   `cbor:"3,keyasint"`
}

// signed is the encoded hello of the server with its proof, or the proof of
// the client alone. The secret itself is never sent.
type proofMessage struct {
	Hello []byte `cbor:"1,keyasint,omitempty"`
	Proof []byte `cbor:"2,keyasint"`
}

// prove returns the proof of one side over both encoded hellos, and so over
// both nonces and both identities.
func computeProof(secret, label string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(label))
	for _, encodedHello := range [][]byte{client, server} {
		sum := sha256.Sum256(encodedHello)
		mac.Write(sum[:])
	}
	return mac.Sum(nil)
}

func encodeHello(self bus.Peer) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never fails
	return cbor.Marshal(hello{Version: protocolVersion, Peer: self, Nonce: nonce})
}

func decodeHello(data []byte) (bus.Peer, error) {
	var h hello
	if err := decMode.Unmarshal(data, &h); err != nil {
		return bus.Peer{}, fmt.Errorf("decode hello: %w", err)
	}
	if h.Version != protocolVersion {
		return bus.Peer{}, fmt.Errorf("the other side speaks version %d, not %d", h.Version, protocolVersion)
	}
	if len(h.Nonce) != nonceBytes || h.Peer.ID.VM == "" || h.Peer.ID.Incarnation == "" {
		return bus.Peer{}, errors.New("hello without nonce or identity")
	}
	return h.Peer, nil
}

// greet is the handshake of the side that dialed.
func clientHandshake(ctx context.Context, ws *websocket.Conn, secret string, self bus.Peer) (bus.Peer, error) {
	localHello, err := encodeHello(self)
	if err != nil {
		return bus.Peer{}, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, localHello); err != nil {
		return bus.Peer{}, fmt.Errorf("send hello: %w", err)
	}
	serverProof, err := readProof(ctx, ws)
	if err != nil {
		return bus.Peer{}, err
	}
	if !hmac.Equal(serverProof.Proof, computeProof(secret, labelServer, localHello, serverProof.Hello)) {
		return bus.Peer{}, errWrongSecret
	}
	proof, err := cbor.Marshal(proofMessage{Proof: computeProof(secret, labelClient, localHello, serverProof.Hello)})
	if err != nil {
		return bus.Peer{}, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, proof); err != nil {
		return bus.Peer{}, fmt.Errorf("send proof: %w", err)
	}
	return decodeHello(serverProof.Hello)
}

// welcome is the handshake of the side that was dialed.
func serverHandshake(ctx context.Context, ws *websocket.Conn, secret string, self bus.Peer) (bus.Peer, error) {
	_, remoteHello, err := ws.Read(ctx)
	if err != nil {
		return bus.Peer{}, fmt.Errorf("read hello: %w", err)
	}
	peer, err := decodeHello(remoteHello)
	if err != nil {
		return bus.Peer{}, err
	}
	mine, err := encodeHello(self)
	if err != nil {
		return bus.Peer{}, err
	}
	serverProof, err := cbor.Marshal(proofMessage{Hello: mine, Proof: computeProof(secret, labelServer, remoteHello, mine)})
	if err != nil {
		return bus.Peer{}, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, serverProof); err != nil {
		return bus.Peer{}, fmt.Errorf("send hello: %w", err)
	}
	proof, err := readProof(ctx, ws)
	if err != nil {
		return bus.Peer{}, err
	}
	if !hmac.Equal(proof.Proof, computeProof(secret, labelClient, remoteHello, mine)) {
		return bus.Peer{}, errWrongSecret
	}
	return peer, nil
}

func readProof(ctx context.Context, ws *websocket.Conn) (proofMessage, error) {
	var s proofMessage
	_, data, err := ws.Read(ctx)
	if err != nil {
		return s, fmt.Errorf("read proof: %w", err)
	}
	if err := decMode.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode proof: %w", err)
	}
	return s, nil
}
