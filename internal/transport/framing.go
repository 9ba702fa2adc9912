package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// frameHeaderBytes is the size of a frame header, which is the length of the frame in network byte order.
const frameHeaderBytes = 4

// frameSizeError reports a frame that is empty or larger than the limit.
type frameSizeError struct{ bytes int64 }

// Error implements error.
func (e *frameSizeError) Error() string {
	return fmt.Sprintf("frame size of %d bytes is zero or exceeds the frame limit", e.bytes)
}

// writeFrame writes a header and a frame.
func writeFrame(writer io.Writer, frame []byte) error {
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(frame)))
	if _, err := writer.Write(header[:]); err != nil {
		return err
	}
	_, err := writer.Write(frame)
	return err
}

// readFrameSize reads the header of the next frame. If the size is zero or exceeds limit, it returns a frameSizeError.
func readFrameSize(reader io.Reader, limit int64) (int64, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size == 0 || size > limit {
		return 0, &frameSizeError{size}
	}
	return size, nil
}

// readFrameContent reads a frame whose header has been read.
func readFrameContent(reader io.Reader, size int64) ([]byte, error) {
	frame := make([]byte, size)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
