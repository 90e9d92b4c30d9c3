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

// entryLog is the durable log: one JSON line an entry, offsets from 1. A write
// that reached the file survives a kill of the process. Not safe for
// concurrent use.
type entryLog struct {
	file    *os.File
	entries []Entry
	ends    []int64 // file size after each entry
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

// load reads the whole lines and cuts off a line that a kill left unfinished.
func (l *entryLog) load() error {
	r := bufio.NewReader(l.file)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			break
		}
		var e Entry
		if err := json.Unmarshal(line, &e); err != nil {
			return errors.Wrap(err, "log entry")
		}
		l.entries = append(l.entries, e)
		l.ends = append(l.ends, l.size()+int64(len(line)))
	}
	return l.file.Truncate(l.size())
}

func (l *entryLog) size() int64 {
	if len(l.ends) == 0 {
		return 0
	}
	return l.ends[len(l.ends)-1]
}

func (l *entryLog) len() uint64 { return uint64(len(l.entries)) }

// at returns the position of the entry at that offset, zero before the first.
func (l *entryLog) at(offset uint64) topology.Position {
	if offset == 0 || offset > l.len() {
		return topology.Position{}
	}
	return topology.Position{Term: l.entries[offset-1].Term, Offset: offset}
}

func (l *entryLog) last() topology.Position { return l.at(l.len()) }

func (l *entryLog) append(e Entry) error {
	if e.Offset != l.len()+1 {
		return errors.Newf("entry %d after %d", e.Offset, l.len())
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	if _, err := l.file.WriteAt(line, l.size()); err != nil {
		return err
	}
	l.ends = append(l.ends, l.size()+int64(len(line)))
	l.entries = append(l.entries, e)
	return nil
}

// truncate drops the entries past offset.
func (l *entryLog) truncate(offset uint64) error {
	l.entries = l.entries[:offset:offset]
	l.ends = l.ends[:offset:offset]
	return l.file.Truncate(l.size())
}

// spans returns the last position of each term, in order.
func (l *entryLog) spans() []topology.Position {
	var spans []topology.Position
	for i, e := range l.entries {
		if i+1 == len(l.entries) || l.entries[i+1].Term != e.Term {
			spans = append(spans, topology.Position{Term: e.Term, Offset: e.Offset})
		}
	}
	return spans
}

// common returns the last offset up to which a log with those spans agrees.
// Entries with equal term and offset have equal logs before them.
func (l *entryLog) common(spans []topology.Position) uint64 {
	own := map[uint64]uint64{}
	for _, p := range l.spans() {
		own[p.Term] = p.Offset
	}
	for i := len(spans) - 1; i >= 0; i-- {
		if end, ok := own[spans[i].Term]; ok {
			return min(end, spans[i].Offset)
		}
	}
	return 0
}

func (l *entryLog) close() error { return l.file.Close() }
