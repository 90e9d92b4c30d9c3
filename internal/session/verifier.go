package session

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"
)

const scramMechanism = "SCRAM-SHA-256"

// errMalformedVerifier is returned for a verifier that isn't in PostgreSQL's format.
var errMalformedVerifier = errors.New("verifier: expected SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// parseVerifier parses a SCRAM password verifier in PostgreSQL's format.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var credentials scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != scramMechanism {
		return credentials, errMalformedVerifier
	}
	iterations, saltText, saltFound := strings.Cut(parts[1], ":")
	storedKeyText, serverKeyText, keysFound := strings.Cut(parts[2], ":")
	if !saltFound || !keysFound {
		return credentials, errMalformedVerifier
	}
	iterationCount, err := strconv.Atoi(iterations)
	if err != nil || iterationCount < 1 {
		return credentials, errMalformedVerifier
	}
	credentials.Iters = iterationCount
	salt, saltErr := base64.StdEncoding.DecodeString(saltText)
	storedKey, storedKeyErr := base64.StdEncoding.DecodeString(storedKeyText)
	serverKey, serverKeyErr := base64.StdEncoding.DecodeString(serverKeyText)
	if saltErr != nil || storedKeyErr != nil || serverKeyErr != nil {
		return credentials, errMalformedVerifier
	}
	credentials.Salt, credentials.StoredKey, credentials.ServerKey = string(salt), storedKey, serverKey
	return credentials, nil
}
