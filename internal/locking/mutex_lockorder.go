//go:build lockorder

package locking

import "github.com/sasha-s/go-deadlock"

// Mutex is a mutex that ends the process with both stacks when locks are taken in both orders, or when
// it is awaited for 30 seconds.
type Mutex = deadlock.Mutex
