package testbed

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const clockTicksPerSecond = 100 // of /proc's accounting on Linux

// processCPU returns user and system time in seconds.
func processCPU(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	text := string(content)
	end := strings.LastIndexByte(text, ')') // the command's name may hold blanks
	fields := strings.Fields(text[end+1:])
	const userField, systemField = 11, 12 // counted from the state, which follows the name
	if len(fields) <= systemField {
		return 0, errors.Newf("unexpected form of /proc/%d/stat", pid)
	}
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	if err != nil {
		return 0, err
	}
	return (user + system) / clockTicksPerSecond, nil
}

// processMemory returns the resident memory in bytes.
func processMemory(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(content))
	const residentField = 1 // in pages
	if len(fields) <= residentField {
		return 0, errors.Newf("unexpected form of /proc/%d/statm", pid)
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
