// Command standin-platform runs the platform stand-in as a process until it is
// interrupted.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/test/standin/platform"
)

func main() {
	cfg := platform.Config{Listen: "127.0.0.1:7600", Control: "127.0.0.1:7601"}
	flaggy.SetName("standin-platform")
	flaggy.SetDescription("Stand-in for the platform's object API")
	flaggy.String(&cfg.Listen, "", "listen", "address of the object API")
	flaggy.String(&cfg.Control, "", "control", "address of the control API")
	flaggy.Duration(&cfg.Faults.HostLag, "", "host-lag", "delay before a host change appears in lists")
	flaggy.Parse()
	server, err := platform.Start(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer server.Close()
	fmt.Printf("object API %s, control API %s\n", server.Addr, server.ControlAddr)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
}
