package pool

import (
	"encoding/binary"

	"nettlewalk.example/nettlewalk/internal/result"
)

const frameHeaderSize = 5 // message type and length; the length does not count the type byte

// frame is one message in wire format. body and raw alias the batch's memory.
type frame struct {
	kind byte
	body []byte
	raw  []byte
}

// splitFrames splits a batch into its messages.
func splitFrames(messages []byte) ([]frame, error) {
	var frames []frame
	for len(messages) > 0 {
		if len(messages) < frameHeaderSize {
			return nil, result.New(result.BadProtocol, "batch ends inside a message header")
		}
		size := 1 + int64(binary.BigEndian.Uint32(messages[1:frameHeaderSize]))
		if size < frameHeaderSize || size > int64(len(messages)) {
			return nil, result.New(result.BadProtocol, "message of type %q has an invalid length", messages[0])
		}
		frames = append(frames, frame{kind: messages[0], body: messages[frameHeaderSize:size], raw: messages[:size]})
		messages = messages[size:]
	}
	return frames, nil
}
