// Package settings reads a host's settings file. The file is INI; every key,
// its default and its range stand in one table (keys.go), from which the
// documentation is written. A file is taken whole or refused with one fault
// for each bad line.
package settings
