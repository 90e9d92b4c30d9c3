package settings

//go:generate go run ./page ../../docs/SETTINGS.md
