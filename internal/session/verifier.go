package session

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"
)

const scramMechanism = "SCRAM-SHA-256"

// errVerifier is returned for a verifier that isn't in PostgreSQL's form.
var errVerifier = errors.New("verifier: want SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// parseVerifier reads a password verifier in PostgreSQL's form.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var c scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != scramMechanism {
		return c, errVerifier
	}
	iterations, salt, ok1 := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return c, errVerifier
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < 1 {
		return c, errVerifier
	}
	c.Iters = n
	saltBytes, err1 := base64.StdEncoding.DecodeString(salt)
	storedKey, err2 := base64.StdEncoding.DecodeString(stored)
	serverKey, err3 := base64.StdEncoding.DecodeString(server)
	if err1 != nil || err2 != nil || err3 != nil {
		return c, errVerifier
	}
	c.Salt, c.StoredKey, c.ServerKey = string(saltBytes), storedKey, serverKey
	return c, nil
}
