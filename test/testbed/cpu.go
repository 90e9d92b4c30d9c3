package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// processCPU returns the CPU time of the process's threads in seconds. It reads the
// scheduler's exact run times, because the clock ticks in /proc/PID/stat overstate
// the usage of a process that often runs for a short time.
func processCPU(pid int) (float64, error) {
	statFiles, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	if len(statFiles) == 0 {
		return 0, errors.Newf("process %d has no threads", pid)
	}
	total := time.Duration(0)
	for _, statFile := range statFiles {
		content, err := os.ReadFile(statFile)
		if err != nil {
			continue // the thread has exited in the meantime
		}
		var runTime int64 // ns
		if _, err := fmt.Sscan(string(content), &runTime); err != nil {
			return 0, errors.Wrapf(err, "%s", statFile)
		}
		total += time.Duration(runTime)
	}
	return total.Seconds(), nil
}

// processMemory returns the resident set size of the process in bytes.
func processMemory(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(content))
	const residentField = 1 // in pages
	if len(fields) <= residentField {
		return 0, errors.Newf("unexpected format of /proc/%d/statm", pid)
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
