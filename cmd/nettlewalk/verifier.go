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

const saltBytes = 16 // as PostgreSQL writes them

func verifierCommand() command {
	var user string
	cmd := flaggy.NewSubcommand("verifier")
	cmd.Description = "Make the verifier of a user's password, which is read from standard input"
	cmd.AddPositionalValue(&user, "USER", 1, true, "name of the user")
	return command{Subcommand: cmd, run: func() error { return makeVerifier(user) }}
}

func makeVerifier(user string) error {
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return &badArgument{"no password on standard input"}
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
