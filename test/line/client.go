package line

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is a caller's session with a host over the line protocol.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a session with host i. It returns nil if the connection or the
// session is refused.
func (b *Bed) Dial(i int, database string) *Client {
	c, _ := b.DialKey(i, database, "test")
	return c
}

// DialKey is like Dial with a key. It also returns the error code of a refusal, "" if
// there was no answer.
func (b *Bed) DialKey(i int, database, key string) (c *Client, code string) {
	conn, err := net.DialTimeout("tcp", b.Hosts[i].callerAddr, time.Second)
	if err != nil {
		return nil, ""
	}
	c = &Client{conn: conn, reader: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := c.readLine()
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		code, _, _ = strings.Cut(strings.TrimPrefix(line, "ERROR "), " ")
		return nil, code
	}
	return c, ""
}

// Close closes the session's connection.
func (c *Client) Close() { c.conn.Close() }

func (c *Client) readLine() (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	message, err := "", error(nil)
	for err == nil && !strings.HasSuffix(message, "\r\n") {
		var piece string
		piece, err = c.reader.ReadString('\n')
		message += piece
	}
	return strings.TrimSuffix(message, "\r\n"), err
}

// Query sends a statement, given as its id and its text. It returns the rows,
// the result (COMPLETE or an error code) and the session state. An empty result
// means that the session has ended.
func (c *Client) Query(idAndText string) (rows []string, result, state string) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s\r\n", idAndText); err != nil {
		return nil, "", ""
	}
	for {
		line, err := c.readLine()
		if err != nil {
			return rows, "", ""
		}
		keyword, rest, _ := strings.Cut(line, " ")
		switch keyword {
		case "ROW":
			rows = append(rows, rest)
		case "COMPLETE":
			result = "COMPLETE"
		case "ERROR":
			result, _, _ = strings.Cut(rest, " ")
		case "READY":
			state, _, _ = strings.Cut(rest, " ")
			return rows, result, state
		}
	}
}

// Exec runs a statement like Query and returns only its result. It returns ""
// for a nil client.
func (c *Client) Exec(idAndText string) string {
	if c == nil {
		return ""
	}
	_, result, _ := c.Query(idAndText)
	return result
}
