package line

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// errorLine sends a statement and returns the line of its error, "" if there is none.
func (c *Client) errorLine(idAndText string) (text string) {
	if c == nil {
		return ""
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s\r\n", idAndText); err != nil {
		return ""
	}
	for {
		line, err := c.readLine()
		if err != nil || strings.HasPrefix(line, "READY") {
			return text
		}
		if strings.HasPrefix(line, "ERROR") {
			text = line
		}
	}
}

// Callers that are refused while no target answers are told when to return if that is
// enabled, and the text of a refusal stays as it was otherwise. The configuration has no
// customers.
func TestLineRefusedCallersAreToldWhenToReturn(t *testing.T) {
	for mode, told := range map[string]bool{"on": true, "auto": false} {
		t.Run(mode, func(t *testing.T) {
			b := NewBedWith(t, Options{HostArgs: []string{"--retry-times", mode}})
			client := b.Dial(0, "db")
			b.Eventually("a write succeeds", func() bool { return client.Exec("w WRITE a x") == "COMPLETE" })
			for i := range b.Members {
				b.Crash(i)
			}
			refused, withTime := 0, 0
			for n, end := 0, time.Now().Add(20*time.Second); refused < 5 && time.Now().Before(end); n++ {
				line := client.errorLine(fmt.Sprintf("w%d WRITE a x", n))
				if line == "" { // the session may have ended
					client = b.Dial(0, "db")
				}
				if !strings.HasPrefix(line, "ERROR BUSY") {
					<-time.After(20 * time.Millisecond)
					continue
				}
				refused++
				if strings.Contains(line, "; retry after ") {
					withTime++
				}
				if refused == 1 || refused == 5 {
					t.Log(line)
				}
			}
			qt.Check(t, refused, qt.Equals, 5)
			if told { // the first ones may lie beyond the deadline
				qt.Check(t, withTime >= 3, qt.IsTrue, qt.Commentf("%d", withTime))
			} else {
				qt.Check(t, withTime, qt.Equals, 0)
			}
		})
	}
}
