package customer

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	verifierMechanism = "SCRAM-SHA-256"
	minIterations     = 4096 // RFC 7677
	maxIterations     = 1_000_000
	verifierKeyBytes  = 32 // length of a SHA-256 digest

	allowedVerifier = "empty (no password, where the host's settings allow it) or SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY in PostgreSQL's format"
)

// ValidVerifier reports whether s is a SCRAM-SHA-256 verifier in PostgreSQL's
// format.
func ValidVerifier(s string) bool {
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != verifierMechanism {
		return false
	}
	iterations, salt, found := strings.Cut(parts[1], ":")
	n, err := strconv.Atoi(iterations)
	if !found || err != nil || n < minIterations || n > maxIterations {
		return false
	}
	if raw, err := base64.StdEncoding.DecodeString(salt); err != nil || len(raw) == 0 {
		return false
	}
	stored, server, found := strings.Cut(parts[2], ":")
	return found && isVerifierKey(stored) && isVerifierKey(server)
}

// isVerifierKey reports whether s is a base64 key of the right length.
func isVerifierKey(s string) bool {
	raw, err := base64.StdEncoding.DecodeString(s)
	return err == nil && len(raw) == verifierKeyBytes
}

// MakeVerifier returns the verifier of a password. The salt must be random.
func MakeVerifier(user, password string, salt []byte) (string, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return "", fmt.Errorf("password of user %s: %w", user, err)
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: minIterations})
	if err != nil {
		return "", fmt.Errorf("password of user %s: %w", user, err)
	}
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", verifierMechanism, minIterations, b64(salt), b64(c.StoredKey), b64(c.ServerKey)), nil
}
