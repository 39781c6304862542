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

// Sizes of handshake messages.
const (
	nonceBytes        = 32
	maxHandshakeBytes = 4 << 10
)

// The labels of the two proofs differ, so that the proof of one side cannot be
// replayed as the proof of the other.
const (
	labelServer = "daisyslip peer server"
	labelClient = "daisyslip peer client"
)

// errWrongSecret is returned if the proof of the other side was not made with
// the local secret.
var errWrongSecret = errors.New("the other side does not know the secret of this fleet")

// hello is the first message of each side of a handshake. It identifies the
// sender and carries a random nonce.
type hello struct {
	Version uint8    `cbor:"1,keyasint"`
	Peer    bus.Peer `cbor:"2,keyasint"`
	Nonce   []byte   `cbor:"3,keyasint"`
}

// proofMessage carries the server's encoded hello together with its proof, or
// the client's proof alone. The secret itself is never sent.
type proofMessage struct {
	Hello []byte `cbor:"1,keyasint,omitempty"`
	Proof []byte `cbor:"2,keyasint"`
}

// computeProof returns the HMAC by which the side that label names proves that
// it knows the secret. It covers both encoded hellos, hence both nonces and both
// identities.
func computeProof(secret, label string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(label))
	for _, encodedHello := range [][]byte{client, server} {
		sum := sha256.Sum256(encodedHello)
		mac.Write(sum[:])
	}
	return mac.Sum(nil)
}

// encodeHello returns an encoded hello of self with a new nonce.
func encodeHello(self bus.Peer) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never fails
	return cbor.Marshal(hello{Version: protocolVersion, Peer: self, Nonce: nonce})
}

// decodeHello returns the peer that an encoded hello identifies. It returns an
// error if the hello is malformed, has another protocol version, or lacks a
// nonce or an identity.
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

// clientHandshake runs the handshake of the dialing side and returns the
// authenticated peer. It returns errWrongSecret if the server does not know the
// secret.
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

// serverHandshake runs the handshake of the accepting side and returns the
// authenticated peer. It returns errWrongSecret if the client does not know the
// secret.
func serverHandshake(ctx context.Context, ws *websocket.Conn, secret string, self bus.Peer) (bus.Peer, error) {
	_, remoteHello, err := ws.Read(ctx)
	if err != nil {
		return bus.Peer{}, fmt.Errorf("read hello: %w", err)
	}
	peer, err := decodeHello(remoteHello)
	if err != nil {
		return bus.Peer{}, err
	}
	localHello, err := encodeHello(self)
	if err != nil {
		return bus.Peer{}, err
	}
	serverProof, err := cbor.Marshal(proofMessage{Hello: localHello, Proof: computeProof(secret, labelServer, remoteHello, localHello)})
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
	if !hmac.Equal(proof.Proof, computeProof(secret, labelClient, remoteHello, localHello)) {
		return bus.Peer{}, errWrongSecret
	}
	return peer, nil
}

// readProof reads and decodes one proofMessage.
func readProof(ctx context.Context, ws *websocket.Conn) (proofMessage, error) {
	var message proofMessage
	_, data, err := ws.Read(ctx)
	if err != nil {
		return message, fmt.Errorf("read proof: %w", err)
	}
	if err := decMode.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("decode proof: %w", err)
	}
	return message, nil
}
