package pool

import (
	"encoding/binary"

	"nettlewalk.example/nettlewalk/internal/result"
)

const frameHeader = 5 // bytes: type, then the length of all but the type

// frame is one message in wire format. body and raw share the batch's memory.
type frame struct {
	kind byte
	body []byte
	raw  []byte
}

// splitFrames cuts a batch into its messages.
func splitFrames(messages []byte) ([]frame, error) {
	var frames []frame
	for len(messages) > 0 {
		if len(messages) < frameHeader {
			return nil, result.New(result.BadProtocol, "batch ends inside a message header")
		}
		size := 1 + int64(binary.BigEndian.Uint32(messages[1:frameHeader]))
		if size < frameHeader || size > int64(len(messages)) {
			return nil, result.New(result.BadProtocol, "message of type %q has a wrong length", messages[0])
		}
		frames = append(frames, frame{kind: messages[0], body: messages[frameHeader:size], raw: messages[:size]})
		messages = messages[size:]
	}
	return frames, nil
}
