package main

import (
	"os"
	"path/filepath"
	"testing"
)

// play plays a case with its disruption and fails if the rule was broken. The programs must have been built as the
// deploy file says.
func play(t *testing.T, name string) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(filepath.Join(t.TempDir(), "record.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	faults, err := cases[name](newRecord(out), root, true)
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range faults {
		t.Error(fault)
	}
}

// TestReviewPromises plays review/4, 5 and 8.
func TestReviewPromises(t *testing.T) {
	for _, name := range []string{"half-close", "authority", "leaving"} {
		t.Run(name, func(t *testing.T) { play(t, name) })
	}
}

// TestReviewMemory plays review/6 and 7.
func TestReviewMemory(t *testing.T) {
	for _, name := range []string{"invalid", "uploads"} {
		t.Run(name, func(t *testing.T) { play(t, name) })
	}
}
