package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/customer"
)

const saltBytes = 16 // the salt length that PostgreSQL uses for SCRAM verifiers

func verifierCommand() command {
	var user string
	cmd := flaggy.NewSubcommand("verifier")
	cmd.Description = "Create a SCRAM verifier for a user's password, read from standard input"
	cmd.AddPositionalValue(&user, "USER", 1, true, "name of the user")
	return command{Subcommand: cmd, run: func() error { return printVerifier(user) }}
}

func printVerifier(user string) error {
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return &usageError{"no password on standard input"}
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return err
	}
	verifier, err := customer.MakeVerifier(user, password, salt)
	if err != nil {
		return err
	}
	_, err = fmt.Println(verifier)
	return err
}
