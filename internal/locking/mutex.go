//go:build !lockorder

package locking

import "sync"

// Mutex is a sync.Mutex. With the build tag lockorder its order is checked.
type Mutex = sync.Mutex
