package storage

import (
	"errors"
	"os"

	"beaconvane/internal/errcode"
)

const logName = "log"

// writeAheadLog is the file of the records behind the newest snapshot.
type writeAheadLog struct {
	directory Directory
	format    frameFormat
}

// read returns the file's content, nil if there is none.
func (l *writeAheadLog) read() ([]byte, error) {
	body, err := l.directory.Read(logName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errcode.Wrap("storage.open", errcode.DiskFault, err)
	}
	return body, nil
}

// append makes records durable as one frame behind the others.
func (l *writeAheadLog) append(records [][]byte) error {
	if err := l.directory.Append(logName, l.format.encodeFrame(records)); err != nil {
		return err
	}
	return l.directory.Sync(logName)
}

// truncate removes a torn tail durably, so that later frames don't stand behind it.
func (l *writeAheadLog) truncate(size int64) error {
	if err := l.directory.Truncate(logName, size); err != nil {
		return err
	}
	return l.directory.Sync(logName)
}

// reset makes the log durably empty, for the records behind the snapshot of a generation.
func (l *writeAheadLog) reset(generation uint64) error {
	l.format = currentFormat(generation)
	return replaceDurably(l.directory, logName, encodeLogHeader(generation))
}
