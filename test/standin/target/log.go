package target

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const logFile = "log.jsonl"

// entryLog is the durable log, stored as one JSON line per entry. Offsets
// start at 1. Entries written to the file survive a kill of the process. An
// entryLog is not safe for concurrent use.
type entryLog struct {
	file       *os.File
	entries    []Entry
	endOffsets []int64 // file size after each entry
}

func openLog(dir string) (*entryLog, error) {
	file, err := os.OpenFile(filepath.Join(dir, logFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	l := &entryLog{file: file}
	if err := l.load(); err != nil {
		file.Close()
		return nil, err
	}
	return l, nil
}

// load reads all complete lines and truncates a partial last line left by a
// kill.
func (l *entryLog) load() error {
	r := bufio.NewReader(l.file)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			break
		}
		var e Entry
		if err := json.Unmarshal(line, &e); err != nil {
			return errors.Wrap(err, "decode log entry")
		}
		l.entries = append(l.entries, e)
		l.endOffsets = append(l.endOffsets, l.size()+int64(len(line)))
	}
	return l.file.Truncate(l.size())
}

func (l *entryLog) size() int64 {
	if len(l.endOffsets) == 0 {
		return 0
	}
	return l.endOffsets[len(l.endOffsets)-1]
}

func (l *entryLog) length() uint64 { return uint64(len(l.entries)) }

// positionAt returns the position of the entry at offset, or the zero position
// if there is no such entry.
func (l *entryLog) positionAt(offset uint64) topology.Position {
	if offset == 0 || offset > l.length() {
		return topology.Position{}
	}
	return topology.Position{Term: l.entries[offset-1].Term, Offset: offset}
}

func (l *entryLog) lastPosition() topology.Position { return l.positionAt(l.length()) }

func (l *entryLog) append(e Entry) error {
	if e.Offset != l.length()+1 {
		return errors.Newf("cannot append entry %d to a log that ends at offset %d", e.Offset, l.length())
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	if _, err := l.file.WriteAt(line, l.size()); err != nil {
		return err
	}
	l.endOffsets = append(l.endOffsets, l.size()+int64(len(line)))
	l.entries = append(l.entries, e)
	return nil
}

// truncate drops the entries after offset.
func (l *entryLog) truncate(offset uint64) error {
	l.entries = l.entries[:offset:offset]
	l.endOffsets = l.endOffsets[:offset:offset]
	return l.file.Truncate(l.size())
}

// termEnds returns the last position of each term, in log order.
func (l *entryLog) termEnds() []topology.Position {
	var ends []topology.Position
	for i, e := range l.entries {
		if i+1 == len(l.entries) || l.entries[i+1].Term != e.Term {
			ends = append(ends, topology.Position{Term: e.Term, Offset: e.Offset})
		}
	}
	return ends
}

// commonPrefix returns the last offset up to which this log equals a log with
// the given term ends. Entries with the same term and offset have identical
// logs before them.
func (l *entryLog) commonPrefix(otherEnds []topology.Position) uint64 {
	ownEnds := map[uint64]uint64{}
	for _, p := range l.termEnds() {
		ownEnds[p.Term] = p.Offset
	}
	for i := len(otherEnds) - 1; i >= 0; i-- {
		if ownEnd, ok := ownEnds[otherEnds[i].Term]; ok {
			return min(ownEnd, otherEnds[i].Offset)
		}
	}
	return 0
}

func (l *entryLog) close() error { return l.file.Close() }
