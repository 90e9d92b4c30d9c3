package customer

// maxNameLength fits PostgreSQL's own identifiers.
const maxNameLength = 63

const allowedName = "1 to 63 of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit"

// ValidName tells whether s may name a template, customer, database, user,
// group or target.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return true
}

// CheckName returns the fault of a bad name.
func CheckName(field, name string) error {
	var faults Faults
	if !ValidName(name) {
		faults.add(field, name, allowedName)
	}
	return faults.err()
}
