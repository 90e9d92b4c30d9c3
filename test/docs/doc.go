// Package docs checks that the metrics, tests and files to which the documentation
// refers exist.
package docs
