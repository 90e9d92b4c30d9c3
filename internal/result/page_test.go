package result

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const pagePath = "../../docs/ERRORS.md"

var update = flag.Bool("update", false, "write "+pagePath)

func TestErrorsPage(t *testing.T) {
	if *update {
		qt.Assert(t, os.WriteFile(pagePath, []byte(Markdown()), 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(pagePath)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, Markdown())
}

// Table must have one row for each constant of type Code, with the constant's
// name and in the order of the constants.
func TestTableListsEveryCode(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "result.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var constants []string
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Code" {
				constants = append(constants, spec.Names[0].Name)
			}
		}
		return true
	})
	var rows []string
	last := Code(0)
	for _, info := range Table {
		rows = append(rows, info.Name)
		qt.Check(t, info.SQLState, qt.Matches, "[0-9A-Z]{5}")
		qt.Check(t, info.Meaning != "" && info.Retry != "" && !strings.Contains(info.Meaning, "|"), qt.IsTrue, qt.Commentf("%s", info.Name))
		qt.Check(t, info.Code > last, qt.IsTrue, qt.Commentf("%s is out of order", info.Name))
		qt.Check(t, Describe(info.Code), qt.Equals, info)
		last = info.Code
	}
	qt.Assert(t, rows, qt.DeepEquals, constants)
	qt.Assert(t, Describe(999).SQLState, qt.Equals, "XX000")
}
