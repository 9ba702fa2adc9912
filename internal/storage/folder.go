package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"beaconvane/internal/errcode"
)

// Directory is the port to the disk: a folder of files. The simulator has another one.
type Directory interface {
	// Read returns a file's content; os.ErrNotExist when there is none.
	Read(name string) ([]byte, error)
	// Write replaces a file; nothing is on disk before Sync.
	Write(name string, body []byte) error
	// Append writes behind the end of a file.
	Append(name string, body []byte) error
	// Sync makes a file's content durable.
	Sync(name string) error
	// SyncDirectory makes the folder's list of files durable.
	SyncDirectory() error
	// Truncate cuts a file to a size in bytes.
	Truncate(name string, size int64) error
}

// OSDirectory is a folder of the real disk.
type OSDirectory struct{ Path string }

// NewOSDirectory returns the folder at a path, and makes it if need be.
func NewOSDirectory(path string) (OSDirectory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return OSDirectory{}, errcode.Wrap("storage.folder", errcode.DiskFault, err)
	}
	return OSDirectory{path}, nil
}

// Read returns a file's content.
func (f OSDirectory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.Path, name))
}

// Write replaces a file.
func (f OSDirectory) Write(name string, body []byte) error {
	return os.WriteFile(filepath.Join(f.Path, name), body, 0o600)
}

// Append writes behind the end of a file that exists.
func (f OSDirectory) Append(name string, body []byte) error {
	file, err := os.OpenFile(filepath.Join(f.Path, name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("append: %w", err)
	}
	defer file.Close()
	_, err = file.Write(body)
	return err
}

// Sync makes a file's content durable.
func (f OSDirectory) Sync(name string) error {
	file, err := os.OpenFile(filepath.Join(f.Path, name), os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	defer file.Close()
	return file.Sync()
}

// SyncDirectory makes the list of files durable.
func (f OSDirectory) SyncDirectory() error {
	folder, err := os.Open(f.Path)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer folder.Close()
	return folder.Sync()
}

// Truncate cuts a file to a size in bytes.
func (f OSDirectory) Truncate(name string, size int64) error {
	return os.Truncate(filepath.Join(f.Path, name), size)
}
