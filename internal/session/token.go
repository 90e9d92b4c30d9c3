package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	tokenVersion  = 1
	tokenBodySize = 1 + 8 + 8 // bytes of version, term and offset
	tokenSize     = tokenBodySize + sha256.Size
)

// scope is the customer and group of a session. A token is valid only within it.
type scope struct {
	customer topology.CustomerID
	group    topology.GroupID
}

// signToken returns a signed token for a log position within a scope.
func signToken(key []byte, sc scope, position topology.Position) string {
	raw := make([]byte, 0, tokenSize)
	raw = append(raw, tokenVersion)
	raw = binary.BigEndian.AppendUint64(raw, position.Term)
	raw = binary.BigEndian.AppendUint64(raw, position.Offset)
	raw = append(raw, tokenMAC(key, sc, raw)...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// verifyToken returns the log position of a token that signToken created with
// the same key and scope. It returns BadToken for any other text.
func verifyToken(key []byte, sc scope, token string) (topology.Position, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) != tokenSize || raw[0] != tokenVersion {
		return topology.Position{}, result.New(result.BadToken, "malformed session token")
	}
	body := raw[:tokenBodySize]
	if !hmac.Equal(raw[tokenBodySize:], tokenMAC(key, sc, body)) {
		return topology.Position{}, result.New(result.BadToken, "session token was issued for another database or signed with another key")
	}
	return topology.Position{
		Term:   binary.BigEndian.Uint64(body[1:]),
		Offset: binary.BigEndian.Uint64(body[9:]),
	}, nil
}

func tokenMAC(key []byte, sc scope, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	writeField(mac, string(sc.customer))
	writeField(mac, string(sc.group))
	mac.Write(body)
	return mac.Sum(nil)
}

// writeField writes a length-prefixed string, so that different pairs of fields
// can't produce the same bytes.
func writeField(w interface{ Write([]byte) (int, error) }, s string) {
	_, _ = w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s)))) // writing to a hash never fails
	_, _ = w.Write([]byte(s))
}
