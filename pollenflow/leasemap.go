package pollenflow

import "time"

// A LeaseMap is a map whose entries expire unless they are renewed. All leases
// of a map have the same duration. It is not safe for concurrent use.
type LeaseMap[K comparable, V any] struct {
	lease   time.Duration
	entries map[K]leaseEntry[V]
	// queue holds each key of entries once, with the time of the next check of
	// its entry, sorted by that time. Items before head are no longer used.
	queue []queuedKey[K]
	head  int
}

type leaseEntry[V any] struct {
	value   V
	expires time.Time
}

type queuedKey[K comparable] struct {
	key     K
	checkAt time.Time
}

// NewLeaseMap returns an empty LeaseMap whose entries expire after lease.
func NewLeaseMap[K comparable, V any](lease time.Duration) *LeaseMap[K, V] {
	return &LeaseMap[K, V]{lease: lease, entries: map[K]leaseEntry[V]{}}
}

// Put sets an entry and renews its lease.
func (l *LeaseMap[K, V]) Put(now time.Time, key K, value V) {
	expires := now.Add(l.lease)
	if _, ok := l.entries[key]; !ok {
		l.queue = append(l.queue, queuedKey[K]{key: key, checkAt: expires})
	}
	l.entries[key] = leaseEntry[V]{value: value, expires: expires}
}

// Get returns the value of an entry. ok is false if there is none or its lease
// has expired.
func (l *LeaseMap[K, V]) Get(now time.Time, key K) (value V, ok bool) {
	e, ok := l.entries[key]
	if !ok || !now.Before(e.expires) {
		return value, false
	}
	return e.value, true
}

// Delete ends an entry's lease. Its memory is freed at the latest by the first
// call of Expire after the lease would have expired.
func (l *LeaseMap[K, V]) Delete(key K) {
	if e, ok := l.entries[key]; ok {
		var zero V
		e.value = zero
		e.expires = time.Time{}
		l.entries[key] = e
	}
}

// Len returns the number of entries, including expired and deleted ones that
// Expire has not removed yet.
func (l *LeaseMap[K, V]) Len() int { return len(l.entries) }

// Expire removes the entries whose lease has expired and calls dropped, unless
// it is nil, with each; entries that Delete ended have the zero value. Its cost
// is proportional to the number of entries that are due for a check.
func (l *LeaseMap[K, V]) Expire(now time.Time, dropped func(key K, value V)) {
	for l.head < len(l.queue) && !now.Before(l.queue[l.head].checkAt) {
		item := l.queue[l.head]
		l.head++
		e := l.entries[item.key]
		if now.Before(e.expires) {
			l.queue = append(l.queue, queuedKey[K]{key: item.key, checkAt: e.expires})
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

// ForEach calls visit with each entry whose lease has not expired, in no
// particular order.
func (l *LeaseMap[K, V]) ForEach(now time.Time, visit func(key K, value V)) {
	for key, e := range l.entries {
		if now.Before(e.expires) {
			visit(key, e.value)
		}
	}
}
