package settings

import _ "embed"

// Example is a commented settings file without faults.
//
//go:embed example.ini
var Example string
