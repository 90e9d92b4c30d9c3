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
	tokenBodySize = 1 + 8 + 8 // version, term, offset in bytes
	tokenSize     = tokenBodySize + sha256.Size
)

// scope is what a token is valid for.
type scope struct {
	customer topology.CustomerID
	group    topology.GroupID
}

// signToken returns a token that carries a position within a scope.
func signToken(key []byte, s scope, p topology.Position) string {
	raw := make([]byte, 0, tokenSize)
	raw = append(raw, tokenVersion)
	raw = binary.BigEndian.AppendUint64(raw, p.Term)
	raw = binary.BigEndian.AppendUint64(raw, p.Offset)
	raw = append(raw, tokenMAC(key, s, raw)...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// readToken returns the position of a token that signToken made with the same
// key and scope. Any other text gives BadToken.
func readToken(key []byte, s scope, token string) (topology.Position, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) != tokenSize || raw[0] != tokenVersion {
		return topology.Position{}, result.New(result.BadToken, "malformed session token")
	}
	body := raw[:tokenBodySize]
	if !hmac.Equal(raw[tokenBodySize:], tokenMAC(key, s, body)) {
		return topology.Position{}, result.New(result.BadToken, "session token of another database, or not from this system")
	}
	return topology.Position{
		Term:   binary.BigEndian.Uint64(body[1:]),
		Offset: binary.BigEndian.Uint64(body[9:]),
	}, nil
}

func tokenMAC(key []byte, s scope, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	writeField(mac, string(s.customer))
	writeField(mac, string(s.group))
	mac.Write(body)
	return mac.Sum(nil)
}

// writeField writes a text with its length in front, so that two fields can't
// be read as two others.
func writeField(w interface{ Write([]byte) (int, error) }, s string) {
	_, _ = w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s)))) // a hash never fails
	_, _ = w.Write([]byte(s))
}
