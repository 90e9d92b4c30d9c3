package settings

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("One INI file for each process; `nettlewalk check -c FILE` lists every fault. Written by `go generate ./internal/settings` from internal/settings/keys.go.\n\n")
	b.WriteString("| section | key | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range keys {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", k.section, k.name, defaultColumn(k), k.allowed, k.meaning)
	}
	b.WriteString("| operators | NAME | | TOKEN of 16 bytes or more [CUSTOMER, ...] | bearer token of an operator; with customers listed it sees and edits only those |\n")
	b.WriteString("| addresses | IP:PORT | | IP:PORT | address to dial in place of the published one |\n")
	return b.String()
}

func defaultColumn(k key) string {
	if k.required {
		return "(required)"
	}
	if k.defaultValue == "" {
		return "(empty)"
	}
	return "`" + k.defaultValue + "`"
}
