package storage

// sectorBytes is the size of the unit that a disk writes at once.
const sectorBytes = 512

// logState is the condition in which recovery finds the log file.
type logState int

const (
	logUninitialized logState = iota // missing, or left without records by a crash during a reset
	logReadable                      // intact except for a tail that may be torn
	logCorrupt                       // durable data is corrupt
)

// parsedLog is the decoded content of a log file.
type parsedLog struct {
	state       logState
	format      frameFormat
	records     [][]byte
	intactBytes int // length of the header and the intact frames that follow it
}

// parseLog decodes a log. newestGeneration is the generation of the newest slot.
func parseLog(body []byte, newestGeneration uint64) parsedLog {
	if len(body) < logHeaderBytes || allZero(body) {
		return parsedLog{state: logUninitialized}
	}
	format, intact := parseLogHeader(body)
	if !intact {
		return parsedLog{state: headerlessLogState(body, newestGeneration)}
	}
	parsed := parsedLog{state: logReadable, format: format, records: [][]byte{}, intactBytes: logHeaderBytes}
	for parsed.intactBytes < len(body) {
		records, size, intact := format.parseFrame(body[parsed.intactBytes:])
		if !intact {
			if !format.isUncommittedTail(body, parsed.intactBytes, size) {
				parsed.state = logCorrupt
			}
			return parsed
		}
		parsed.records = append(parsed.records, records...)
		parsed.intactBytes += size
	}
	return parsed
}

// headerlessLogState returns the state of a log whose header is not intact. A header is written once the
// slot of its generation is durable, and frames once the header is durable. A file without a frame of the
// newest generation therefore contains nothing that the slot lacks. A frame of the next generation means
// that the newest slot is unreadable, and frames of the oldest format carry no generation: both count as
// corrupt.
func headerlessLogState(body []byte, newestGeneration uint64) logState {
	for _, format := range []frameFormat{currentFormat(newestGeneration), currentFormat(newestGeneration + 1), {version: oldestLogFormat}} {
		if format.containsFrame(body) {
			return logCorrupt
		}
	}
	return logUninitialized
}

// isUncommittedTail reports whether the log can be cut before the bad frame at an offset: no intact frame
// follows, and the frame is torn or belongs to the log that this one replaced.
func (f frameFormat) isUncommittedTail(body []byte, offset, frameBytes int) bool {
	if f.containsFrame(body[offset+1:]) {
		return false
	}
	return f.isStale(body[offset:]) || f.isTorn(body, offset, frameBytes)
}

// isStale reports whether data begins with a frame of the previous generation.
func (f frameFormat) isStale(data []byte) bool {
	if !f.generationBound() {
		return false
	}
	for _, earlier := range []frameFormat{currentFormat(f.generation - 1), {version: oldestLogFormat}} {
		if _, _, intact := earlier.parseFrame(data); intact {
			return true
		}
	}
	return false
}

// isTorn reports whether a crash can have left the bad frame at an offset: its end is missing, or its bytes
// in some sector are all zero because the disk wrote later sectors before earlier ones.
func (f frameFormat) isTorn(body []byte, offset, frameBytes int) bool {
	end := offset + frameBytes
	if frameBytes == 0 {
		end = len(body)
	}
	if end > len(body) || len(body)-offset < frameHeaderBytes {
		return true
	}
	if f.generationBound() && body[end-1] == 0 {
		return true
	}
	for chunkStart := offset; chunkStart < end; {
		chunkEnd := min(end, (chunkStart/sectorBytes+1)*sectorBytes)
		if allZero(body[chunkStart:chunkEnd]) {
			return true
		}
		chunkStart = chunkEnd
	}
	return false
}

// allZero reports whether all bytes are zero.
func allZero(body []byte) bool {
	for _, value := range body {
		if value != 0 {
			return false
		}
	}
	return true
}
