package target

import (
	"regexp"
	"strings"
)

var (
	castPattern    = regexp.MustCompile(`::\s*[a-zA-Z_][a-zA-Z0-9_]*(\s*\(\s*\d+\s*\))?(\[\])?`)
	rowLockPattern = regexp.MustCompile(`(?i)\s+FOR\s+(UPDATE|SHARE)(\s+(NOWAIT|SKIP\s+LOCKED))?`)
	serialPattern  = regexp.MustCompile(`(?i)\b(BIG)?SERIAL\b`)
	ilikePattern   = regexp.MustCompile(`(?i)\bILIKE\b`)
)

// translateToSQLite rewrites PostgreSQL syntax that SQLite doesn't support.
// Quoted text is left unchanged.
func translateToSQLite(sql string) string {
	var out strings.Builder
	for _, part := range splitQuoted(sql) {
		if part == "" || part[0] == '\'' || part[0] == '"' {
			out.WriteString(part)
			continue
		}
		part = castPattern.ReplaceAllString(part, "")
		part = rowLockPattern.ReplaceAllString(part, "")
		part = serialPattern.ReplaceAllString(part, "INTEGER")
		out.WriteString(ilikePattern.ReplaceAllString(part, "LIKE"))
	}
	return out.String()
}

// splitQuoted splits sql into unquoted and quoted parts.
func splitQuoted(sql string) []string {
	var parts []string
	start := 0
	for i := 0; i < len(sql); i++ {
		if sql[i] != '\'' && sql[i] != '"' {
			continue
		}
		parts = append(parts, sql[start:i])
		end := strings.IndexByte(sql[i+1:], sql[i])
		if end < 0 {
			return append(parts, sql[i:])
		}
		parts = append(parts, sql[i:i+end+2])
		i += end + 1
		start = i + 1
	}
	return append(parts, sql[start:])
}

// splitStatements splits sql at semicolons outside quoted text and drops empty
// statements.
func splitStatements(sql string) []string {
	var out []string
	var current strings.Builder
	flush := func() {
		if text := strings.TrimSpace(current.String()); text != "" {
			out = append(out, text)
		}
		current.Reset()
	}
	for _, part := range splitQuoted(stripComments(sql)) {
		if part == "" || part[0] == '\'' || part[0] == '"' {
			current.WriteString(part)
			continue
		}
		pieces := strings.Split(part, ";")
		for i, piece := range pieces {
			if i > 0 {
				flush()
			}
			current.WriteString(piece)
		}
	}
	flush()
	return out
}

// stripComments removes lines that consist only of a comment.
func stripComments(sql string) string {
	if !strings.Contains(sql, "--") {
		return sql
	}
	lines := strings.Split(sql, "\n")
	kept := lines[:0]
	for _, line := range lines {
		if !strings.HasPrefix(strings.TrimSpace(line), "--") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// firstWords returns up to n leading words of a statement in upper case.
func firstWords(sql string, n int) []string {
	fields := strings.Fields(strings.ToUpper(strings.Trim(sql, " \t\r\n;")))
	if len(fields) > n {
		fields = fields[:n]
	}
	return fields
}
