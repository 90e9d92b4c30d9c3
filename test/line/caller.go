package line

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is one caller's session.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Dial begins a session at a host; nil if it is refused.
func (b *Bed) Dial(i int, database string) *Client {
	conn, err := net.DialTimeout("tcp", b.Hosts[i].callers, time.Second)
	if err != nil {
		return nil
	}
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "START %s test\r\n", database)
	line, err := c.line()
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil
	}
	return c
}

// Close ends the session.
func (c *Client) Close() { c.conn.Close() }

func (c *Client) line() (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := c.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// Query sends an id and a text. It returns the rows, the result (COMPLETE or
// the code of the error) and the state; result "" means that the session ended.
func (c *Client) Query(idAndText string) (rows []string, result, state string) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s\r\n", idAndText); err != nil {
		return nil, "", ""
	}
	for {
		line, err := c.line()
		if err != nil {
			return rows, "", ""
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
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

// Try returns only the result.
func (c *Client) Try(idAndText string) string {
	if c == nil {
		return ""
	}
	_, result, _ := c.Query(idAndText)
	return result
}
