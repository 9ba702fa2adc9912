package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"beaconvane/internal/errcode"
)

// Directory is the port to the disk: a directory of files. The simulation has one of its own, with faults.
type Directory interface {
	// Read returns a file's content; os.ErrNotExist when there is none.
	Read(name string) ([]byte, error)
	// Write replaces a file's content. It may be on disk in part, or not at all, until Sync returns.
	Write(name string, body []byte) error
	// Append writes behind the end of a file that exists, with the same reservation as Write.
	Append(name string, body []byte) error
	// Sync makes a file's content durable.
	Sync(name string) error
	// SyncDirectory makes the list of files durable. A new file may be lost before, though it was synced.
	SyncDirectory() error
	// Truncate cuts a file to a size in bytes, with the same reservation as Write.
	Truncate(name string, size int64) error
}

// replaceDurably writes a file, which may be new, and returns once content and name are durable. A crash
// meanwhile may leave any part of the old and the new content.
func replaceDurably(directory Directory, name string, body []byte) error {
	if err := directory.Write(name, body); err != nil {
		return err
	}
	if err := directory.Sync(name); err != nil {
		return err
	}
	return directory.SyncDirectory()
}

// OSDirectory is a directory of the operating system.
type OSDirectory struct{ Path string }

// NewOSDirectory returns the directory at a path, and makes it if need be.
func NewOSDirectory(path string) (OSDirectory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return OSDirectory{}, errcode.Wrap("storage.folder", errcode.DiskFault, err)
	}
	return OSDirectory{path}, nil
}

// Read returns a file's content.
func (d OSDirectory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.Path, name))
}

// Write replaces a file.
func (d OSDirectory) Write(name string, body []byte) error {
	return os.WriteFile(filepath.Join(d.Path, name), body, 0o600)
}

// Append writes behind the end of a file that exists.
func (d OSDirectory) Append(name string, body []byte) error {
	file, err := os.OpenFile(filepath.Join(d.Path, name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("append: %w", err)
	}
	defer file.Close()
	_, err = file.Write(body)
	return err
}

// Sync makes a file's content durable.
func (d OSDirectory) Sync(name string) error {
	file, err := os.OpenFile(filepath.Join(d.Path, name), os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	defer file.Close()
	return file.Sync()
}

// SyncDirectory makes the list of files durable.
func (d OSDirectory) SyncDirectory() error {
	directory, err := os.Open(d.Path)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer directory.Close()
	return directory.Sync()
}

// Truncate cuts a file to a size in bytes.
func (d OSDirectory) Truncate(name string, size int64) error {
	return os.Truncate(filepath.Join(d.Path, name), size)
}
