package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A log consists of a header (magic number, format version, generation, checksum) and frames.
const (
	logMagic            = 0x42564c47
	logHeaderBytes      = 20
	logFormatOffset     = 4
	logGenerationOffset = 8
	logChecksumOffset   = 16 // the checksum covers the preceding bytes of the header

	// currentLogFormat is the format version that is written. oldestLogFormat is the oldest version that
	// can be read; its frames are not bound to a generation and have no end marker.
	currentLogFormat = 3
	oldestLogFormat  = 2
	// generationBoundLogFormat is the first format version whose frames are bound to their log's generation
	// and end with frameEndMarker.
	generationBoundLogFormat = 3
)

// A frame consists of a header (length of the body, checksum of the body, checksum of these two), the body,
// the same header again, and an end marker. The body contains the records, each preceded by its length.
const (
	frameHeaderBytes          = 12
	frameBodyChecksumOffset   = 4
	frameHeaderChecksumOffset = 8
	recordLengthBytes         = 4
	// frameEndMarker is the last byte of a frame. The byte is zero if the end of a frame was never written;
	// no single bit flip turns the marker into zero.
	frameEndMarker = 0xa5
)

// frameFormat encodes and decodes the frames of one log. Their checksums include the log's generation. A
// crash while the log is reset may leave frames of an earlier generation after the new header; these fail
// the checksum of the new generation.
type frameFormat struct {
	version    uint32
	generation uint64
}

// currentFormat returns the format in which a log of a generation is written.
func currentFormat(generation uint64) frameFormat {
	return frameFormat{version: currentLogFormat, generation: generation}
}

// generationBound reports whether the checksums of frames include the generation and frames have an end
// marker.
func (f frameFormat) generationBound() bool { return f.version >= generationBoundLogFormat }

// checksum returns the checksum of a header or a body of a frame.
func (f frameFormat) checksum(body []byte) uint32 {
	if !f.generationBound() {
		return crc32.Checksum(body, checksumTable)
	}
	seed := crc32.Checksum(binary.BigEndian.AppendUint64(nil, f.generation), checksumTable)
	return crc32.Update(seed, checksumTable, body)
}

// overhead returns the size in bytes of a frame without its body.
func (f frameFormat) overhead() int {
	if f.generationBound() {
		return 2*frameHeaderBytes + 1
	}
	return 2 * frameHeaderBytes
}

// encodeLogHeader returns the header of a log, which is also an empty log.
func encodeLogHeader(generation uint64) []byte {
	body := make([]byte, logHeaderBytes)
	binary.BigEndian.PutUint32(body, logMagic)
	binary.BigEndian.PutUint32(body[logFormatOffset:], currentLogFormat)
	binary.BigEndian.PutUint64(body[logGenerationOffset:], generation)
	binary.BigEndian.PutUint32(body[logChecksumOffset:], crc32.Checksum(body[:logChecksumOffset], checksumTable))
	return body
}

// parseLogHeader returns the format of a log's frames, and whether the header is intact. body must have at
// least logHeaderBytes bytes.
func parseLogHeader(body []byte) (format frameFormat, intact bool) {
	version := binary.BigEndian.Uint32(body[logFormatOffset:])
	intact = binary.BigEndian.Uint32(body) == logMagic &&
		version >= oldestLogFormat && version <= currentLogFormat &&
		binary.BigEndian.Uint32(body[logChecksumOffset:]) == crc32.Checksum(body[:logChecksumOffset], checksumTable)
	return frameFormat{version: version, generation: binary.BigEndian.Uint64(body[logGenerationOffset:])}, intact
}

// encodeFrame returns a frame that contains the given records.
func (f frameFormat) encodeFrame(records [][]byte) []byte {
	body := []byte{}
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	header := make([]byte, frameHeaderBytes)
	binary.BigEndian.PutUint32(header, uint32(len(body)))
	binary.BigEndian.PutUint32(header[frameBodyChecksumOffset:], f.checksum(body))
	binary.BigEndian.PutUint32(header[frameHeaderChecksumOffset:], f.checksum(header[:frameHeaderChecksumOffset]))
	frame := make([]byte, 0, f.overhead()+len(body))
	frame = append(frame, header...)
	frame = append(frame, body...)
	frame = append(frame, header...)
	if f.generationBound() {
		frame = append(frame, frameEndMarker)
	}
	return frame
}

// parseFrame decodes the frame at the beginning of data. frameBytes is the size of the frame that its
// header states, or 0 if the header is not intact.
func (f frameFormat) parseFrame(data []byte) (records [][]byte, frameBytes int, intact bool) {
	if len(data) < frameHeaderBytes ||
		binary.BigEndian.Uint32(data[frameHeaderChecksumOffset:]) != f.checksum(data[:frameHeaderChecksumOffset]) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data))
	frameBytes = f.overhead() + length
	if len(data) < frameBytes {
		return nil, frameBytes, false
	}
	header, body := data[:frameHeaderBytes], data[frameHeaderBytes:frameHeaderBytes+length]
	trailer := data[frameHeaderBytes+length : 2*frameHeaderBytes+length]
	if string(header) != string(trailer) || binary.BigEndian.Uint32(header[frameBodyChecksumOffset:]) != f.checksum(body) {
		return nil, frameBytes, false
	}
	if f.generationBound() && data[frameBytes-1] != frameEndMarker {
		return nil, frameBytes, false
	}
	records, intact = parseRecords(body)
	return records, frameBytes, intact
}

// parseRecords splits the body of a frame into its records.
func parseRecords(body []byte) (records [][]byte, intact bool) {
	for len(body) > 0 {
		if len(body) < recordLengthBytes {
			return nil, false
		}
		recordEnd := recordLengthBytes + int(binary.BigEndian.Uint32(body))
		if len(body) < recordEnd {
			return nil, false
		}
		records, body = append(records, body[recordLengthBytes:recordEnd]), body[recordEnd:]
	}
	return records, true
}

// containsFrame reports whether an intact frame of this format begins anywhere in body.
func (f frameFormat) containsFrame(body []byte) bool {
	for offset := range body {
		if _, _, intact := f.parseFrame(body[offset:]); intact {
			return true
		}
	}
	return false
}
