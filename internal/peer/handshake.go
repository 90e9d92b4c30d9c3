package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	handshakeTimeout = 500 * time.Millisecond // for the whole handshake; a live host needs only a few round trips
	nonceSize        = 32                     // bytes
	maxHostIDSize    = 255                    // bytes; the length is sent in one byte
)

const (
	handshakeMagic    = "NWP1"
	serverProofLabel  = "nettlewalk peer server"
	clientProofLabel  = "nettlewalk peer client"
	handshakeAccepted = 'A'
)

var errKeyMismatch = errors.New("peer key of the other host does not match")

// clientHandshake checks the server's proof of the key and sends its own. The
// messages are, in this order:
//
//	client: magic, client nonce
//	server: server nonce, server proof
//	client: client proof, length of the client's host id, host id
//	server: one byte, handshakeAccepted
func clientHandshake(conn net.Conn, key []byte, self topology.HostID) error {
	clientNonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(append([]byte(handshakeMagic), clientNonce...)); err != nil {
		return err
	}
	answer := make([]byte, nonceSize+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	serverNonce, serverProof := answer[:nonceSize], answer[nonceSize:]
	if !hmac.Equal(serverProof, proof(key, serverProofLabel, clientNonce, serverNonce, "")) {
		return errKeyMismatch
	}
	if _, err := conn.Write(clientMessage(key, clientNonce, serverNonce, self)); err != nil {
		return err
	}
	accepted := make([]byte, 1)
	if _, err := io.ReadFull(conn, accepted); err != nil {
		return err
	}
	if accepted[0] != handshakeAccepted {
		return errKeyMismatch
	}
	return nil
}

// clientMessage returns the client's second message of the handshake.
func clientMessage(key, clientNonce, serverNonce []byte, self topology.HostID) []byte {
	message := proof(key, clientProofLabel, clientNonce, serverNonce, self)
	message = append(message, byte(len(self)))
	return append(message, self...)
}

// serverHandshake is the server side of clientHandshake: it sends its proof of the
// key, checks the client's proof and returns the client's host id.
func serverHandshake(conn net.Conn, key []byte) (topology.HostID, error) {
	hello := make([]byte, len(handshakeMagic)+nonceSize)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return "", err
	}
	if string(hello[:len(handshakeMagic)]) != handshakeMagic {
		return "", errors.New("connection does not start with the peer protocol identifier")
	}
	clientNonce := hello[len(handshakeMagic):]
	serverNonce, err := newNonce()
	if err != nil {
		return "", err
	}
	answer := append(append([]byte{}, serverNonce...), proof(key, serverProofLabel, clientNonce, serverNonce, "")...)
	if _, err := conn.Write(answer); err != nil {
		return "", err
	}
	id, err := readClientProof(conn, key, clientNonce, serverNonce)
	if err != nil {
		return "", err
	}
	_, err = conn.Write([]byte{handshakeAccepted})
	return id, err
}

// readClientProof reads the client's second message, checks the proof in it and
// returns the client's host id.
func readClientProof(conn net.Conn, key, clientNonce, serverNonce []byte) (topology.HostID, error) {
	proofAndLength := make([]byte, sha256.Size+1)
	if _, err := io.ReadFull(conn, proofAndLength); err != nil {
		return "", err
	}
	id := make([]byte, proofAndLength[sha256.Size])
	if _, err := io.ReadFull(conn, id); err != nil {
		return "", err
	}
	want := proof(key, clientProofLabel, clientNonce, serverNonce, topology.HostID(id))
	if !hmac.Equal(proofAndLength[:sha256.Size], want) {
		return "", errKeyMismatch
	}
	return topology.HostID(id), nil
}

// proof returns the HMAC by which one end proves that it has the key. It covers
// both nonces, so that a recorded handshake can't be replayed, and a label, so that
// an end's own proof can't be reflected to it as the proof of the other end.
func proof(key []byte, label string, clientNonce, serverNonce []byte, id topology.HostID) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	mac.Write([]byte(id))
	return mac.Sum(nil)
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceSize)
	_, err := rand.Read(nonce)
	return nonce, err
}
