package pollennode

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenpeer"
)

const (
	// maxDocumentTime is how long an operator's document may take on this host's link,
	// which callers' packets share.
	maxDocumentTime = 100 * time.Millisecond
	// routeTextSize is the assumed size in bytes of a route in the text of a document
	// whose text this host does not hold.
	routeTextSize = 160
)

// RedirectDocument returns the leading control host if the sender of a document of
// size bytes should send it there: it takes too long on this host's link, and the
// leader's is faster. The result is invalid if this host should serve the request.
func (b *Balancer) RedirectDocument(now time.Time, size int) netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return redirect(now, size, b.settings.LinkRate, b.table, b.leadership.Current(now))
}

// RedirectRead is RedirectDocument for a read of the document in force.
func (b *Balancer) RedirectRead(now time.Time) netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := &b.view.View().Declared
	size := max(len(d.Source), routeTextSize*len(d.Routes))
	return redirect(now, size, b.settings.LinkRate, b.table, b.leadership.Current(now))
}

// redirect decides on the redirection of a document of size bytes. linkRate is that of
// this host in bits per second; zero means that it is not known.
func redirect(now time.Time, size int, linkRate float64, table *pollenpeer.Table, leader netip.AddrPort) netip.AddrPort {
	const bitsPerByte = 8
	if linkRate == 0 || float64(size)*bitsPerByte <= linkRate*maxDocumentTime.Seconds() {
		return netip.AddrPort{}
	}
	e, known := table.Get(leader)
	if !known || now.Sub(e.LastSeen) >= table.FreshAge() || float64(e.Peer.LinkRate)*bitsPerKilobit <= linkRate {
		return netip.AddrPort{}
	}
	return leader
}
