package pollenflow

import "time"

// A Leased is a map whose entries vanish unless they are renewed. All leases
// of one map have the same length. It is not safe for concurrent use.
type LeaseMap[K comparable, V any] struct {
	lease   time.Duration
	entries map[K]leasedEntry[V]
	// queue holds every key with the time at which its entry is looked at
	// next, in order; a key that is in entries is in the queue once.
	queue []leasedKey[K]
	head  int
}

type leasedEntry[V any] struct {
	value   V
	expires time.Time
}

type leasedKey[K comparable] struct {
	key     K
	checkAt time.Time
}

// NewLeased returns a new empty Leased.
func NewLeaseMap[K comparable, V any](lease time.Duration) *LeaseMap[K, V] {
	return &LeaseMap[K, V]{lease: lease, entries: map[K]leasedEntry[V]{}}
}

// Put sets and renews an entry.
func (l *LeaseMap[K, V]) Put(now time.Time, key K, value V) {
	expires := now.Add(l.lease)
	if _, ok := l.entries[key]; !ok {
		l.queue = append(l.queue, leasedKey[K]{key: key, checkAt: expires})
	}
	l.entries[key] = leasedEntry[V]{value: value, expires: expires}
}

// Get returns an entry whose lease has not run out.
func (l *LeaseMap[K, V]) Get(now time.Time, key K) (value V, ok bool) {
	e, ok := l.entries[key]
	if !ok || !now.Before(e.expires) {
		return value, false
	}
	return e.value, true
}

// Delete ends an entry's lease. Its slot is freed by the next Expire after the
// lease would have run out.
func (l *LeaseMap[K, V]) Delete(key K) {
	if e, ok := l.entries[key]; ok {
		var zero V
		e.value = zero
		e.expires = time.Time{}
		l.entries[key] = e
	}
}

// Len returns the number of entries, those that are to be expired included.
func (l *LeaseMap[K, V]) Len() int { return len(l.entries) }

// Expire drops the entries whose lease has run out and calls dropped, unless
// it is nil, with each. Its cost is proportional to the entries that are due.
func (l *LeaseMap[K, V]) Expire(now time.Time, dropped func(key K, value V)) {
	for l.head < len(l.queue) && !now.Before(l.queue[l.head].checkAt) {
		item := l.queue[l.head]
		l.head++
		e := l.entries[item.key]
		if now.Before(e.expires) {
			l.queue = append(l.queue, leasedKey[K]{key: item.key, checkAt: e.expires})
			continue
		}
		delete(l.entries, item.key)
		if dropped != nil {
			dropped(item.key, e.value)
		}
	}
	if l.head > len(l.queue)/2 {
		l.queue = append(l.queue[:0], l.queue[l.head:]...)
		l.head = 0
	}
}

// All calls visit with each entry whose lease has not run out, in no order.
func (l *LeaseMap[K, V]) ForEach(now time.Time, visit func(key K, value V)) {
	for key, e := range l.entries {
		if now.Before(e.expires) {
			visit(key, e.value)
		}
	}
}
