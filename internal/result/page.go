package result

import (
	"fmt"
	"strings"
)

const pageHeader = `# Result codes

Every refusal and failure has a number. Callers see it in an ErrorResponse: the
SQLSTATE, a message that begins with ` + "`nettlewalk NUMBER (GROUP)`" + `, a detail, and,
where waiting helps, the hint ` + "`retry after N ms`" + `. Operators see it in the
administration API, in the log's ` + "`code`" + ` and in the metric
` + "`nettlewalk_refusals_total{code=\"N\"}`" + `. An error that a target answers is passed
on whole, with its own SQLSTATE.

With ` + "`nettlewalk serve --retry-times on`" + ` each refusal to repeat "after the hint" has one
of at most a second, unless the session's deadline is shorter, and 210 has the hint
` + "`retry after 0 ms`" + `: another host serves. On the users' platform's protocol ` + "`BUSY`" + ` ends with
the same words, see [retry-after.md](design/retry-after.md).

This page is generated: ` + "`go test ./internal/result -run ErrorsPage -update`" + `.

What may be concluded from a group:

| Group | Numbers | The request |
|---|---|---|
| done | 100-199 | took effect |
| not run | 200-299 | took no effect, and won't |
| outcome unknown | 300-399 | may have taken effect; look before repeating it |
| target error | 400-499 | was refused by the target |
| bad input | 500-599 | took no effect, and will fail again unchanged |

| Number | Name | Group | SQLSTATE | Meaning | Repeat? |
|---|---|---|---|---|---|
`

// Markdown returns the content of docs/ERRORS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString(pageHeader)
	for _, info := range Table {
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s | %s |\n", info.Code, info.Name, info.Code.Group(), info.SQLState, info.Meaning, info.Retry)
	}
	return page.String()
}
