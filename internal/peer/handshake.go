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
	handshakeTimeout = 500 * time.Millisecond // a live host answers within a few round trips
	nonceSize        = 32                     // bytes
	maxHostIDSize    = 255                    // bytes, the length is sent in one byte
)

const (
	handshakeMagic    = "NWP1"
	serverProofLabel  = "nettlewalk peer server"
	clientProofLabel  = "nettlewalk peer client"
	handshakeAccepted = 'A'
)

var errWrongKey = errors.New("the other end has another peer key")

// greet proves the key to a server and checks the server's proof.
//
// client: magic, client nonce. server: server nonce, server proof.
// client: client proof, length of its id, id. server: one byte.
func greet(conn net.Conn, key []byte, self topology.HostID) error {
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
		return errWrongKey
	}
	if _, err := conn.Write(clientMessage(key, clientNonce, serverNonce, self)); err != nil {
		return err
	}
	accepted := make([]byte, 1)
	if _, err := io.ReadFull(conn, accepted); err != nil {
		return err
	}
	if accepted[0] != handshakeAccepted {
		return errWrongKey
	}
	return nil
}

func clientMessage(key, clientNonce, serverNonce []byte, self topology.HostID) []byte {
	message := proof(key, clientProofLabel, clientNonce, serverNonce, self)
	message = append(message, byte(len(self)))
	return append(message, self...)
}

// welcome proves the key to a client, checks its proof and returns its id.
func welcome(conn net.Conn, key []byte) (topology.HostID, error) {
	opening := make([]byte, len(handshakeMagic)+nonceSize)
	if _, err := io.ReadFull(conn, opening); err != nil {
		return "", err
	}
	if string(opening[:len(handshakeMagic)]) != handshakeMagic {
		return "", errors.New("not a peer connection")
	}
	clientNonce := opening[len(handshakeMagic):]
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

func readClientProof(conn net.Conn, key, clientNonce, serverNonce []byte) (topology.HostID, error) {
	head := make([]byte, sha256.Size+1)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", err
	}
	id := make([]byte, head[sha256.Size])
	if _, err := io.ReadFull(conn, id); err != nil {
		return "", err
	}
	want := proof(key, clientProofLabel, clientNonce, serverNonce, topology.HostID(id))
	if !hmac.Equal(head[:sha256.Size], want) {
		return "", errWrongKey
	}
	return topology.HostID(id), nil
}

// proof binds both nonces, so that a recorded handshake is worth nothing, and
// a label, so that one end's proof can't be returned to it as the other's.
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
