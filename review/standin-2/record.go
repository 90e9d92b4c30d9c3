package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, as record.txt has it.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	wrong []string // how the rule was broken
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// broken records how the rule was broken.
func (r *record) broken(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", line)
	r.mu.Lock()
	r.wrong = append(r.wrong, line)
	r.mu.Unlock()
	fmt.Println("BROKEN", line)
}

// say writes a line that is also printed.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}
