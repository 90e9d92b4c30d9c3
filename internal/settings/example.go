package settings

import _ "embed"

// Example is a valid settings file with comments.
//
//go:embed example.ini
var Example string
