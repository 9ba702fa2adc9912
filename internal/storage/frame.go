package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A log is a header (magic, format number, generation, checksum) and frames.
const (
	logMagic        = 0x42564c47
	logHeaderBytes  = 20
	logFormatAt     = 4
	logGenerationAt = 8
	logChecksumAt   = 16 // the checksum covers the header before it

	// currentLogFormat is the format that is written. oldestLogFormat is the oldest one that is read;
	// its frames are not bound to a generation and have no end marker.
	currentLogFormat = 3
	oldestLogFormat  = 2
	// boundLogFormat is the first format whose frames are bound to their log's generation and end with
	// frameEndMarker.
	boundLogFormat = 3
)

// A frame is a header (length of the body, checksum of the body, checksum of these two), the body, the
// same header again, and an end marker. The body is the records, each behind its length.
const (
	frameHeaderBytes  = 12
	frameBodySumAt    = 4
	frameHeaderSumAt  = 8
	recordLengthBytes = 4
	// frameEndMarker is the last byte of a frame. No single bit turns it into zero, which is what stands
	// there when the end of a frame was never written.
	frameEndMarker = 0xa5
)

// frameFormat is how the frames of one log are written. Their checksums begin with the log's generation,
// so that a frame of an earlier generation, which a crash while the log was emptied may have left behind
// the new header, is not taken for one of this log.
type frameFormat struct {
	number     uint32
	generation uint64
}

func currentFormat(generation uint64) frameFormat {
	return frameFormat{number: currentLogFormat, generation: generation}
}

// bound reports whether frames are bound to the generation and have an end marker.
func (f frameFormat) bound() bool { return f.number >= boundLogFormat }

// checksum returns the checksum of a part of a frame.
func (f frameFormat) checksum(body []byte) uint32 {
	if !f.bound() {
		return crc32.Checksum(body, checksumTable)
	}
	seed := crc32.Checksum(binary.BigEndian.AppendUint64(nil, f.generation), checksumTable)
	return crc32.Update(seed, checksumTable, body)
}

// overhead returns how many bytes a frame has besides its body.
func (f frameFormat) overhead() int {
	if f.bound() {
		return 2*frameHeaderBytes + 1
	}
	return 2 * frameHeaderBytes
}

// encodeLogHeader returns an empty log.
func encodeLogHeader(generation uint64) []byte {
	body := make([]byte, logHeaderBytes)
	binary.BigEndian.PutUint32(body, logMagic)
	binary.BigEndian.PutUint32(body[logFormatAt:], currentLogFormat)
	binary.BigEndian.PutUint64(body[logGenerationAt:], generation)
	binary.BigEndian.PutUint32(body[logChecksumAt:], crc32.Checksum(body[:logChecksumAt], checksumTable))
	return body
}

// parseLogHeader returns how the frames of a log are written, and whether its header is intact.
func parseLogHeader(body []byte) (format frameFormat, intact bool) {
	number := binary.BigEndian.Uint32(body[logFormatAt:])
	intact = binary.BigEndian.Uint32(body) == logMagic &&
		number >= oldestLogFormat && number <= currentLogFormat &&
		binary.BigEndian.Uint32(body[logChecksumAt:]) == crc32.Checksum(body[:logChecksumAt], checksumTable)
	return frameFormat{number: number, generation: binary.BigEndian.Uint64(body[logGenerationAt:])}, intact
}

// encodeFrame returns the frame of some records.
func (f frameFormat) encodeFrame(records [][]byte) []byte {
	body := []byte{}
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	header := make([]byte, frameHeaderBytes)
	binary.BigEndian.PutUint32(header, uint32(len(body)))
	binary.BigEndian.PutUint32(header[frameBodySumAt:], f.checksum(body))
	binary.BigEndian.PutUint32(header[frameHeaderSumAt:], f.checksum(header[:frameHeaderSumAt]))
	frame := make([]byte, 0, f.overhead()+len(body))
	frame = append(frame, header...)
	frame = append(frame, body...)
	frame = append(frame, header...)
	if f.bound() {
		frame = append(frame, frameEndMarker)
	}
	return frame
}

// parseFrame reads the frame at the beginning of some bytes. The size is 0 if not even the header is
// intact.
func (f frameFormat) parseFrame(rest []byte) (records [][]byte, size int, intact bool) {
	if len(rest) < frameHeaderBytes || binary.BigEndian.Uint32(rest[frameHeaderSumAt:]) != f.checksum(rest[:frameHeaderSumAt]) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(rest))
	size = f.overhead() + length
	if len(rest) < size {
		return nil, size, false
	}
	header, body := rest[:frameHeaderBytes], rest[frameHeaderBytes:frameHeaderBytes+length]
	trailer := rest[frameHeaderBytes+length : 2*frameHeaderBytes+length]
	if string(header) != string(trailer) || binary.BigEndian.Uint32(header[frameBodySumAt:]) != f.checksum(body) {
		return nil, size, false
	}
	if f.bound() && rest[size-1] != frameEndMarker {
		return nil, size, false
	}
	records, intact = parseRecords(body)
	return records, size, intact
}

// parseRecords splits the body of a frame into its records.
func parseRecords(body []byte) (records [][]byte, intact bool) {
	for len(body) > 0 {
		if len(body) < recordLengthBytes {
			return nil, false
		}
		next := recordLengthBytes + int(binary.BigEndian.Uint32(body))
		if len(body) < next {
			return nil, false
		}
		records, body = append(records, body[recordLengthBytes:next]), body[next:]
	}
	return records, true
}

// holdsFrame reports whether an intact frame of this format begins anywhere in some bytes.
func (f frameFormat) holdsFrame(body []byte) bool {
	for at := range body {
		if _, _, intact := f.parseFrame(body[at:]); intact {
			return true
		}
	}
	return false
}
