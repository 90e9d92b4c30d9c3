package adminclient

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/pool"
)

// printSlots writes the slots in a host's status as a table.
func printSlots(w io.Writer, slots any) error {
	raw, err := json.Marshal(slots)
	if err != nil {
		return err
	}
	var state pool.State
	if err := json.Unmarshal(raw, &state); err != nil {
		return errors.Wrap(err, "decode slots in the host's response")
	}
	return writeTable(w, "SLOT OF\tNUMBER\tLOCK\tIN USE\tIDLE\tLIMIT\tWAITING\tSERVICE TIME\tFAILURE", func(row func(...any)) {
		for _, s := range state.Slots {
			row(s.Target, s.Slot, lockStateText(s), s.Streams, s.Idle, s.Limit, s.Queue, s.ServiceTime, s.Failure)
		}
	})
}

func lockStateText(s pool.SlotState) string {
	switch {
	case s.Draining:
		return "handing over"
	case s.Locked:
		return "held"
	}
	return "wanted"
}
