package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"beaconvane/internal/errcode"
)

// Directory is the interface to the disk: one directory of files. OSDirectory implements it with the file
// system; the simulation has an implementation that injects faults.
type Directory interface {
	// Read returns a file's content, or os.ErrNotExist if there is no such file.
	Read(name string) ([]byte, error)
	// Write replaces a file's content. Until Sync returns, all, some or none of it may be on disk.
	Write(name string, body []byte) error
	// Append appends to an existing file. It is no more durable than Write before Sync returns.
	Append(name string, body []byte) error
	// Sync makes a file's content durable.
	Sync(name string) error
	// SyncDirectory makes the directory's entries durable. Until it returns, a crash may remove a new file
	// even if the file was synced.
	SyncDirectory() error
	// Truncate shortens a file to a size in bytes. It is no more durable than Write before Sync returns.
	Truncate(name string, size int64) error
}

// replaceDurably replaces or creates a file and returns once its content and its directory entry are
// durable. A crash before that may leave any mixture of the old and the new content.
func replaceDurably(directory Directory, name string, body []byte) error {
	if err := directory.Write(name, body); err != nil {
		return err
	}
	if err := directory.Sync(name); err != nil {
		return err
	}
	return directory.SyncDirectory()
}

// OSDirectory is a directory of the operating system's file system.
type OSDirectory struct{ Path string }

// NewOSDirectory returns the directory at a path, and creates it if necessary.
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

// Write replaces a file's content, and creates the file if necessary.
func (d OSDirectory) Write(name string, body []byte) error {
	return os.WriteFile(filepath.Join(d.Path, name), body, 0o600)
}

// Append appends to an existing file.
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

// SyncDirectory makes the directory's entries durable.
func (d OSDirectory) SyncDirectory() error {
	directory, err := os.Open(d.Path)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer directory.Close()
	return directory.Sync()
}

// Truncate shortens a file to a size in bytes.
func (d OSDirectory) Truncate(name string, size int64) error {
	return os.Truncate(filepath.Join(d.Path, name), size)
}
