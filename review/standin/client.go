package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// client is a session of a client with a host.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	host   *host
	// chunk and pause pace what is sent, so that a link isn't given more than it carries.
	chunk int
	pause time.Duration
}

var errRefused = errors.New("the session was refused")

// open starts a session.
func open(h *host, database, key string) (*client, error) {
	conn, err := dialTCP(h.caller)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn), host: h}
	fmt.Fprintf(conn, "START %s\r\n", strings.TrimSpace(database+" "+key))
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		if err == nil {
			err = fmt.Errorf("%w: %s", errRefused, strings.TrimSpace(line))
		}
		return nil, err
	}
	return c, nil
}

// outcome is what a client got for a request.
type outcome struct {
	rows    []string
	result  string // "COMPLETE", an error code, or "" without a complete answer
	detail  string
	took    time.Duration
	sent    bool // false: the connection was closed before the request was sent
	timeout bool // the client gave up
}

// closed reports whether the host has closed the connection, before a request is sent.
func (c *client) closed() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// query sends a request and waits for its answer.
func (c *client) query(id, text string, limit time.Duration) (o outcome) {
	start := time.Now()
	defer func() { o.took = time.Since(start) }()
	if err := c.send("QUERY " + id + " " + text + "\r\n"); err != nil {
		return o
	}
	o.sent = true
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			o.result, o.timeout = "", errors.Is(err, os.ErrDeadlineExceeded)
			return o
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			o.rows = append(o.rows, rest)
		case "COMPLETE":
			o.result, o.detail = "COMPLETE", rest
		case "ERROR":
			o.result, o.detail, _ = strings.Cut(rest, " ")
		case "READY":
			return o
		}
	}
}

// send sends a message, in parts if the session is paced.
func (c *client) send(message string) error {
	for c.chunk > 0 && len(message) > c.chunk {
		if _, err := c.conn.Write([]byte(message[:c.chunk])); err != nil {
			return err
		}
		message = message[c.chunk:]
		time.Sleep(c.pause)
	}
	_, err := c.conn.Write([]byte(message))
	return err
}
