// Package settings reads a host's settings file in INI format. One table (keys.go)
// defines every key with its default and allowed range, and the documentation is
// generated from this table. A file is either accepted as a whole or rejected with
// one fault for each invalid line.
package settings
