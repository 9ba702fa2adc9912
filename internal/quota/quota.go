// Package quota limits the memory that is held for one purpose, such as the bodies of requests, in bytes. A
// holder reserves bytes before it allocates them, and is refused at once if they are not available.
package quota

import "beaconvane/internal/locking"

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
