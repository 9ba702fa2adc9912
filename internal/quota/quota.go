// Package quota limits the memory that is held for one purpose, such as the bodies of requests, in bytes. A
// holder reserves bytes before it allocates them, and is refused at once if they are not available.
package quota

import (
	"runtime"

	"beaconvane/internal/locking"
)

// largeReservation is the number of bytes from which on a reservation waits until released memory was collected.
const largeReservation = 4 << 20

// collection counts the bytes of large reservations, of all quotas, that were released and may still be in memory.
var collection struct {
	lock     locking.Mutex
	released int64
}

// collectReleased runs a garbage collection if large reservations were released since the last one. A busy process
// would otherwise hold the released bodies beside those that take their place.
func collectReleased() {
	collection.lock.Lock()
	defer collection.lock.Unlock()
	if collection.released >= largeReservation {
		collection.released = 0
		runtime.GC()
	}
}

// noteReleased counts released bytes for collectReleased.
func noteReleased(size int64) {
	collection.lock.Lock()
	defer collection.lock.Unlock()
	collection.released += size
}

// Bytes is a limited number of bytes. It is safe for concurrent use.
type Bytes struct {
	lock  locking.Mutex
	limit int64
	used  int64
}

// New returns a quota of limit bytes.
func New(limit int64) *Bytes { return &Bytes{limit: limit} }

// Reserve takes size bytes from the quota. It returns false, and takes none, if fewer are available.
func (b *Bytes) Reserve(size int64) bool {
	if size >= largeReservation {
		collectReleased()
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	if size > b.limit-b.used {
		return false
	}
	b.used += size
	return true
}

// Release returns reserved bytes to the quota.
func (b *Bytes) Release(size int64) {
	if size >= largeReservation {
		noteReleased(size)
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.used -= size
}

// Used returns the number of reserved bytes.
func (b *Bytes) Used() int64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.used
}

// Available returns the number of bytes that are not reserved.
func (b *Bytes) Available() int64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.limit - b.used
}
