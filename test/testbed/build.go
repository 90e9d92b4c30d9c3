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

const modulePath = "nettlewalk.example/nettlewalk"

// sourceDirs are the directories that contain the programs' sources, relative to a
// package two levels below the module root.
var sourceDirs = []string{"../../cmd", "../../internal", "../standin"}

// readSourceDirs opens every directory of the programs' sources. The go command
// records these accesses and does not reuse a cached test result after a source
// file changes.
func readSourceDirs() {
	for _, dir := range sourceDirs {
		_ = filepath.WalkDir(dir, func(string, fs.DirEntry, error) error { return nil })
	}
}

var buildOnce = sync.OnceValues(func() (Programs, error) {
	readSourceDirs()
	dir, err := os.MkdirTemp("", "nettlewalk-programs-")
	if err != nil {
		return Programs{}, err
	}
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		modulePath+"/cmd/nettlewalk",
		modulePath+"/test/standin/cmd/standin-target",
		modulePath+"/test/standin/cmd/standin-platform",
	)
	if out, err := cmd.CombinedOutput(); err != nil {
		return Programs{}, errors.Wrapf(err, "build programs: %s", out)
	}
	return Programs{
		Host:     filepath.Join(dir, "nettlewalk"),
		Target:   filepath.Join(dir, "standin-target"),
		Platform: filepath.Join(dir, "standin-platform"),
	}, nil
})

// Build builds the programs on its first call and returns the same result on later
// calls. RemovePrograms deletes the programs.
func Build() (Programs, error) { return buildOnce() }

// RemovePrograms deletes the programs that Build has built.
func RemovePrograms() {
	if programs, err := buildOnce(); err == nil {
		os.RemoveAll(filepath.Dir(programs.Host))
	}
}
