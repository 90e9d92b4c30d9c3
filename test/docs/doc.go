// Package docs checks that the pages name only what exists.
package docs
