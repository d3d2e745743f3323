package pollennode_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenwire"
)

// TestRedirectDocument guards against redirections that do not help: of documents that
// pass this host's link soon, to a host that may be gone, or to one with a link no
// faster than this host's.
func TestRedirectDocument(t *testing.T) {
	const thin, long = 3.7e6, 500_000
	leader := netip.MustParseAddrPort("10.0.0.2:7000")
	for name, c := range map[string]struct {
		linkRate   float64
		size       int
		leader     netip.AddrPort
		leaderRate int64
		after      time.Duration
		want       netip.AddrPort
	}{
		"long document, thin link":     {thin, long, leader, 100_000, 0, leader},
		"document of unknown length":   {thin, -1, leader, 100_000, 0, netip.AddrPort{}},
		"short document":               {thin, 40_000, leader, 100_000, 0, netip.AddrPort{}},
		"fast link":                    {1e8, long, leader, 1_000_000, 0, netip.AddrPort{}},
		"link of unknown rate":         {0, long, leader, 100_000, 0, netip.AddrPort{}},
		"leader's link is no faster":   {thin, long, leader, 3_700, 0, netip.AddrPort{}},
		"no leader is known":           {thin, long, netip.AddrPort{}, 100_000, 0, netip.AddrPort{}},
		"the leader has fallen silent": {thin, long, leader, 100_000, pollenpeer.FreshAge, netip.AddrPort{}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := newBalancer(t, now, pollennode.Settings{Node: netip.MustParseAddrPort("10.0.0.1:7000"), LinkRate: c.linkRate}, &countingTransport{})
			heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
				Address: leader, Role: pollenpeer.RoleBalancer, Domain: "a", Incarnation: 1, Sequence: 1, Disk: true, LinkRate: c.leaderRate,
			}}
			heartbeat.SetLeadership(now, pollenpeer.Leadership{Leader: c.leader, Term: pollenlog.Term(1), ConfirmedAt: now})
			b.HandleMessage(now, leader, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
			if got := b.RedirectDocument(now.Add(c.after), c.size); got != c.want {
				t.Fatalf("redirected to %s; want %s", got, c.want)
			}
		})
	}
}
