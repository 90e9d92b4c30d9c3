package customer

// maxNameBytes is the maximum length of a PostgreSQL identifier.
const maxNameBytes = 63

const allowedNames = "1 to 63 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit"

// ValidName reports whether s is a valid name of a template, customer,
// database, user, group or target.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
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

// CheckName returns a Faults error if the name is invalid.
func CheckName(field, name string) error {
	var faults Faults
	if !ValidName(name) {
		faults.add(field, name, allowedNames)
	}
	return faults.err()
}
