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

// VerifierIterations is PostgreSQL's own default.
const VerifierIterations = 4096

// MakeVerifier returns the verifier of a password in PostgreSQL's form. The
// salt is random, 16 bytes or more.
func MakeVerifier(password string, salt []byte) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "password")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: VerifierIterations})
	if err != nil {
		return "", errors.Wrap(err, "password")
	}
	encode := base64.StdEncoding.EncodeToString
	return scramMechanism + "$" + strconv.Itoa(c.Iters) + ":" + encode(salt) +
		"$" + encode(c.StoredKey) + ":" + encode(c.ServerKey), nil
}
