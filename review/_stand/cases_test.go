package main

import (
	"os"
	"path/filepath"
	"testing"
)

// play plays a case with its disruption and fails if the rule was broken. The programs must have been built as the
// deploy file says.
func play(t *testing.T, name string) {
	t.Chdir(filepath.Join("..", ".."))
	record, err := newRecorder(filepath.Join(t.TempDir(), "record.txt"))
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFleet(record)
	if err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	if _, err := os.Stat("target/proxy"); err != nil {
		t.Fatal(err)
	}
	if code := cases[name](f, true); code != exitHeld {
		t.Fatalf("exit %d", code)
	}
}

// TestForeignAnswer is review/1: an answer goes to the operator who asked for it.
func TestForeignAnswer(t *testing.T) { play(t, "foreign-answer") }

// TestProxyHangs is review/2: a proxy answers after a freeze.
func TestProxyHangs(t *testing.T) { play(t, "hang") }

// TestLastKeys is review/3: without keys, nothing runs that wants one.
func TestLastKeys(t *testing.T) { play(t, "last-keys") }

// TestLostSignOff is no case of the review: an acknowledged sign-off outlives a kill.
func TestLostSignOff(t *testing.T) { play(t, "lost-signoff") }
