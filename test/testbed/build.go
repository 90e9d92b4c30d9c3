package testbed

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

// Programs holds the paths of the built programs.
type Programs struct {
	Host     string
	Target   string
	Platform string
}

const module = "nettlewalk.example/nettlewalk"

// sources are the directories from which the programs are built, seen from a
// package two levels below the root.
var sources = []string{"../../cmd", "../../internal", "../standin"}

// touchSources opens every directory of the programs' sources: the go command
// then knows that a test's result depends on them, and reuses none from before
// an edit.
func touchSources() {
	for _, dir := range sources {
		_ = filepath.WalkDir(dir, func(string, fs.DirEntry, error) error { return nil })
	}
}

var build = sync.OnceValues(func() (Programs, error) {
	touchSources()
	dir, err := os.MkdirTemp("", "nettlewalk-programs-")
	if err != nil {
		return Programs{}, err
	}
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		module+"/cmd/nettlewalk",
		module+"/test/standin/cmd/standin-target",
		module+"/test/standin/cmd/standin-platform",
	)
	if out, err := cmd.CombinedOutput(); err != nil {
		return Programs{}, errors.Wrapf(err, "build: %s", out)
	}
	return Programs{
		Host:     filepath.Join(dir, "nettlewalk"),
		Target:   filepath.Join(dir, "standin-target"),
		Platform: filepath.Join(dir, "standin-platform"),
	}, nil
})

// Build builds the programs once for this process. RemovePrograms deletes them.
func Build() (Programs, error) { return build() }

// RemovePrograms deletes what Build built.
func RemovePrograms() {
	if programs, err := build(); err == nil {
		os.RemoveAll(filepath.Dir(programs.Host))
	}
}
