package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// frameHeaderBytes is the size of a frame's header: the length of what follows, in network byte order.
const frameHeaderBytes = 4

// frameSizeError is the error of a frame that is empty or larger than the limit.
type frameSizeError struct{ bytes int64 }

// Error implements error.
func (e *frameSizeError) Error() string { return fmt.Sprintf("frame of %d bytes", e.bytes) }

// writeFrame writes a frame behind its header.
func writeFrame(writer io.Writer, frame []byte) error {
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(frame)))
	if _, err := writer.Write(header[:]); err != nil {
		return err
	}
	_, err := writer.Write(frame)
	return err
}

// readFrame reads the next frame. One whose header names a size out of bounds is not read.
func readFrame(reader io.Reader, limit int64) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size == 0 || size > limit {
		return nil, &frameSizeError{size}
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
