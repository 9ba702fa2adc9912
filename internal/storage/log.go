package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A log is a head (magic, format number, generation, checksum) and frames.
const (
	logMagic    = 0x42564c47
	logHead     = 20  // bytes of the log's head
	logSumAt    = 16  // offset of the head's checksum
	frameHead   = 12  // bytes of each of a frame's two heads
	lengthBytes = 4   // before each record
	sector      = 512 // bytes that a disk writes at once

	logFormatNumber = 3
	// boundFormat is the first format whose frames are bound to their log's generation and
	// end with frameEnd.
	boundFormat = 3
	// frameEnd is the last byte of a frame. No single bit turns it into zero, which is what
	// stands there when the end of a frame was never written.
	frameEnd = 0xa5
)

// frameFormat is how the frames of one log are written. Their checksums begin with the log's
// generation, so that a frame of an earlier generation, which a crash while the log was
// emptied may have left behind the new head, is not taken for one of this log.
type frameFormat struct {
	number     uint32
	generation uint64
}

func currentFormat(generation uint64) frameFormat {
	return frameFormat{logFormatNumber, generation}
}

func (f frameFormat) bound() bool { return f.number >= boundFormat }

func (f frameFormat) sum(body []byte) uint32 {
	if !f.bound() {
		return crc32.Checksum(body, sumTable)
	}
	seed := crc32.Checksum(binary.BigEndian.AppendUint64(nil, f.generation), sumTable)
	return crc32.Update(seed, sumTable, body)
}

// overhead is how many bytes a frame has besides its body.
func (f frameFormat) overhead() int {
	if f.bound() {
		return 2*frameHead + 1
	}
	return 2 * frameHead
}

// logHeadOf returns an empty log.
func logHeadOf(generation uint64) []byte {
	body := make([]byte, logHead)
	binary.BigEndian.PutUint32(body[0:], logMagic)
	binary.BigEndian.PutUint32(body[4:], logFormatNumber)
	binary.BigEndian.PutUint64(body[8:], generation)
	binary.BigEndian.PutUint32(body[logSumAt:], crc32.Checksum(body[:logSumAt], sumTable))
	return body
}

// parseLogHead returns how the frames of a log are written; false where its head is bad.
func parseLogHead(body []byte) (frameFormat, bool) {
	number := binary.BigEndian.Uint32(body[4:])
	good := binary.BigEndian.Uint32(body) == logMagic && number >= oldestLogFormat && number <= logFormatNumber &&
		binary.BigEndian.Uint32(body[logSumAt:]) == crc32.Checksum(body[:logSumAt], sumTable)
	return frameFormat{number, binary.BigEndian.Uint64(body[8:])}, good
}

// oldestLogFormat is the oldest format that is read; its frames are not bound to a generation.
const oldestLogFormat = 2

// frameOf returns the frame of some records, each with its length before it.
func (f frameFormat) frameOf(records [][]byte) []byte {
	body := []byte{}
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	var head [frameHead]byte
	binary.BigEndian.PutUint32(head[0:], uint32(len(body)))
	binary.BigEndian.PutUint32(head[4:], f.sum(body))
	binary.BigEndian.PutUint32(head[8:], f.sum(head[:8]))
	frame := append(append(append([]byte{}, head[:]...), body...), head[:]...)
	if f.bound() {
		frame = append(frame, frameEnd)
	}
	return frame
}

// parseFrame reads the frame at the beginning of some bytes; size is 0 where even its head is bad.
func (f frameFormat) parseFrame(rest []byte) (records [][]byte, size int, good bool) {
	if len(rest) < frameHead || binary.BigEndian.Uint32(rest[8:]) != f.sum(rest[:8]) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(rest))
	size = f.overhead() + length
	if len(rest) < size {
		return nil, size, false
	}
	head, body, tail := rest[:frameHead], rest[frameHead:frameHead+length], rest[frameHead+length:2*frameHead+length]
	if string(head) != string(tail) || binary.BigEndian.Uint32(head[4:]) != f.sum(body) || f.bound() && rest[size-1] != frameEnd {
		return nil, size, false
	}
	for len(body) > 0 {
		if len(body) < lengthBytes || len(body) < lengthBytes+int(binary.BigEndian.Uint32(body)) {
			return nil, size, false
		}
		next := lengthBytes + int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[lengthBytes:next]), body[next:]
	}
	return records, size, true
}

// holdsFrame says whether a good frame of this format begins anywhere in some bytes.
func (f frameFormat) holdsFrame(body []byte) bool {
	for at := range body {
		if _, _, good := f.parseFrame(body[at:]); good {
			return true
		}
	}
	return false
}

// logState is what a log's file is found to be.
type logState int

const (
	logTorn  logState = iota // not begun: a crash came while it was made
	logWhole                 // intact, but for a tail that may be torn
	logBad                   // committed data gone bad
)

// parsedLog is what a log's file holds.
type parsedLog struct {
	state   logState
	format  frameFormat
	records [][]byte
	intact  int // bytes of the file
}

// parseLog reads a log, given the generation of the newest slot.
func parseLog(body []byte, newest uint64) parsedLog {
	if len(body) < logHead || allZero(body) {
		return parsedLog{state: logTorn}
	}
	format, good := parseLogHead(body)
	if !good {
		return parsedLog{state: stateWithoutHead(body, newest)}
	}
	log := parsedLog{state: logWhole, format: format, records: [][]byte{}, intact: logHead}
	for log.intact < len(body) {
		held, size, good := format.parseFrame(body[log.intact:])
		if !good {
			if !format.endsAt(body, log.intact, size) {
				log.state = logBad
			}
			return log
		}
		log.records = append(log.records, held...)
		log.intact += size
	}
	return log
}

// stateWithoutHead judges a log whose head is bad. A head is written when the slot of its
// generation is on disk, and frames follow once the head is: with no frame of the newest
// generation there is nothing in the file that the slot lacks.
func stateWithoutHead(body []byte, newest uint64) logState {
	for _, format := range []frameFormat{currentFormat(newest), currentFormat(newest + 1), {number: oldestLogFormat}} {
		if format.holdsFrame(body) {
			return logBad
		}
	}
	return logTorn
}

// endsAt says whether the log may end before the bad frame at an offset: the frame is the
// last one and as a crash leaves it, or it is of the log that was replaced by this one.
func (f frameFormat) endsAt(body []byte, at, size int) bool {
	if f.holdsFrame(body[at+1:]) {
		return false
	}
	return f.stale(body[at:]) || f.torn(body, at, size)
}

// stale says whether the frame at the beginning of some bytes is of the generation before.
func (f frameFormat) stale(rest []byte) bool {
	if !f.bound() {
		return false
	}
	for _, earlier := range []frameFormat{currentFormat(f.generation - 1), {number: oldestLogFormat}} {
		if _, _, good := earlier.parseFrame(rest); good {
			return true
		}
	}
	return false
}

// torn says whether a bad frame is as a crash leaves it: without its end, or without some
// sector, where the disk wrote later ones before earlier ones.
func (f frameFormat) torn(body []byte, at, size int) bool {
	end := at + size
	if size == 0 {
		end = len(body)
	}
	if end > len(body) || len(body)-at < frameHead {
		return true
	}
	if f.bound() && body[end-1] == 0 {
		return true
	}
	for from := at; from < end; {
		to := min(end, (from/sector+1)*sector)
		if allZero(body[from:to]) {
			return true
		}
		from = to
	}
	return false
}

func allZero(body []byte) bool {
	for _, value := range body {
		if value != 0 {
			return false
		}
	}
	return true
}
