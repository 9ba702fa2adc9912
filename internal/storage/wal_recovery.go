package storage

// sectorBytes is what a disk writes at once.
const sectorBytes = 512

// logState is what the file of a log is found to be.
type logState int

const (
	logNotBegun logState = iota // a crash came while the log was emptied or made: it holds nothing
	logReadable                 // intact, but for a tail that may be torn
	logCorrupt                  // durable data went bad
)

// parsedLog is what the file of a log holds.
type parsedLog struct {
	state   logState
	format  frameFormat
	records [][]byte
	intact  int // bytes of the file, from its beginning
}

// parseLog reads a log, given the generation of the newest slot.
func parseLog(body []byte, newest uint64) parsedLog {
	if len(body) < logHeaderBytes || allZero(body) {
		return parsedLog{state: logNotBegun}
	}
	format, intact := parseLogHeader(body)
	if !intact {
		return parsedLog{state: stateWithoutHeader(body, newest)}
	}
	log := parsedLog{state: logReadable, format: format, records: [][]byte{}, intact: logHeaderBytes}
	for log.intact < len(body) {
		records, size, intact := format.parseFrame(body[log.intact:])
		if !intact {
			if !format.mayEndAt(body, log.intact, size) {
				log.state = logCorrupt
			}
			return log
		}
		log.records = append(log.records, records...)
		log.intact += size
	}
	return log
}

// stateWithoutHeader judges a log whose header is bad. A header is written once the slot of its
// generation is durable, and frames follow once the header is: without a frame of the newest generation
// there is nothing in the file that the slot lacks.
func stateWithoutHeader(body []byte, newest uint64) logState {
	for _, format := range []frameFormat{currentFormat(newest), currentFormat(newest + 1), {number: oldestLogFormat}} {
		if format.holdsFrame(body) {
			return logCorrupt
		}
	}
	return logNotBegun
}

// mayEndAt reports whether the log may end before the bad frame at an offset: the frame is the last one
// and is what a crash leaves, or it is of the log that was replaced by this one.
func (f frameFormat) mayEndAt(body []byte, at, size int) bool {
	if f.holdsFrame(body[at+1:]) {
		return false
	}
	return f.stale(body[at:]) || f.torn(body, at, size)
}

// stale reports whether the frame at the beginning of some bytes is of the generation before.
func (f frameFormat) stale(rest []byte) bool {
	if !f.bound() {
		return false
	}
	for _, earlier := range []frameFormat{currentFormat(f.generation - 1), {number: oldestLogFormat}} {
		if _, _, intact := earlier.parseFrame(rest); intact {
			return true
		}
	}
	return false
}

// torn reports whether a bad frame is what a crash leaves: it lacks its end, or a sector of it, where the
// disk wrote later ones before earlier ones.
func (f frameFormat) torn(body []byte, at, size int) bool {
	end := at + size
	if size == 0 {
		end = len(body)
	}
	if end > len(body) || len(body)-at < frameHeaderBytes {
		return true
	}
	if f.bound() && body[end-1] == 0 {
		return true
	}
	for from := at; from < end; {
		to := min(end, (from/sectorBytes+1)*sectorBytes)
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
