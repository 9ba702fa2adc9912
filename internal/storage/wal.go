package storage

import (
	"errors"
	"os"

	"beaconvane/internal/errcode"
)

// logName is the file name of the write-ahead log.
const logName = "log"

// writeAheadLog is the file with the records that were written after the newest snapshot.
type writeAheadLog struct {
	directory Directory
	format    frameFormat
}

// read returns the file's content, or nil if the file doesn't exist.
func (l *writeAheadLog) read() ([]byte, error) {
	body, err := l.directory.Read(logName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errcode.Wrap("storage.open", errcode.DiskFault, err)
	}
	return body, nil
}

// append durably appends records as one frame.
func (l *writeAheadLog) append(records [][]byte) error {
	if err := l.directory.Append(logName, l.format.encodeFrame(records)); err != nil {
		return err
	}
	return l.directory.Sync(logName)
}

// truncate durably removes a torn tail, so that later frames directly follow intact ones.
func (l *writeAheadLog) truncate(size int64) error {
	if err := l.directory.Truncate(logName, size); err != nil {
		return err
	}
	return l.directory.Sync(logName)
}

// reset durably empties the log and sets its generation.
func (l *writeAheadLog) reset(generation uint64) error {
	l.format = currentFormat(generation)
	return replaceDurably(l.directory, logName, encodeLogHeader(generation))
}
