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
)

// logHeadOf returns an empty log.
func logHeadOf(generation uint64) []byte {
	body := make([]byte, logHead)
	binary.BigEndian.PutUint32(body[0:], logMagic)
	binary.BigEndian.PutUint32(body[4:], formatNumber)
	binary.BigEndian.PutUint64(body[8:], generation)
	binary.BigEndian.PutUint32(body[logSumAt:], crc32.Checksum(body[:logSumAt], sumTable))
	return body
}

// frameOf returns the frame of some records, each with its length before it.
func frameOf(records [][]byte) []byte {
	body := []byte{}
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	var head [frameHead]byte
	binary.BigEndian.PutUint32(head[0:], uint32(len(body)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(body, sumTable))
	binary.BigEndian.PutUint32(head[8:], crc32.Checksum(head[:8], sumTable))
	return append(append(append([]byte{}, head[:]...), body...), head[:]...)
}

// parseFrame reads the frame at the beginning of some bytes; size is 0 where even its head is bad.
func parseFrame(rest []byte) (records [][]byte, size int, good bool) {
	if len(rest) < frameHead || binary.BigEndian.Uint32(rest[8:]) != crc32.Checksum(rest[:8], sumTable) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(rest))
	size = 2*frameHead + length
	if len(rest) < size {
		return nil, size, false
	}
	head, body, tail := rest[:frameHead], rest[frameHead:frameHead+length], rest[frameHead+length:size]
	if string(head) != string(tail) || binary.BigEndian.Uint32(head[4:]) != crc32.Checksum(body, sumTable) {
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

// logState is what a log's file is found to be.
type logState int

const (
	logTorn  logState = iota // not begun: a crash came while it was made
	logWhole                 // intact, but for a tail that may be torn
	logBad                   // committed data gone bad
)

// parseLog returns the log's generation, its records, and how many bytes of it are intact.
func parseLog(body []byte) (uint64, [][]byte, int, logState) {
	if len(body) < logHead || allZero(body) {
		return 0, nil, 0, logTorn
	}
	if binary.BigEndian.Uint32(body) != logMagic || binary.BigEndian.Uint32(body[4:]) != formatNumber ||
		binary.BigEndian.Uint32(body[logSumAt:]) != crc32.Checksum(body[:logSumAt], sumTable) {
		return 0, nil, 0, logBad
	}
	generation := binary.BigEndian.Uint64(body[8:])
	records := [][]byte{}
	for at := logHead; at < len(body); {
		held, size, good := parseFrame(body[at:])
		if !good {
			if torn(body, at, size) {
				return generation, records, at, logWhole
			}
			return generation, records, at, logBad
		}
		records = append(records, held...)
		at += size
	}
	return generation, records, len(body), logWhole
}

// torn says whether the bad frame at an offset is the last one, and is as a crash leaves it.
func torn(body []byte, at, size int) bool {
	for next := at + 1; next < len(body); next++ {
		if _, _, good := parseFrame(body[next:]); good {
			return false
		}
	}
	end := at + size
	if size == 0 {
		end = len(body)
	}
	if end > len(body) || len(body)-at < frameHead {
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
