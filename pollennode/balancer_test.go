package pollennode_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenrecord"
)

// newBalancer returns a balancer of the failure domain a that sends through the
// transport and writes no log.
func newBalancer(t *testing.T, now time.Time, s pollennode.Settings, transport pollennode.Transport) *pollennode.Balancer {
	t.Helper()
	return newSeededBalancer(t, now, s, transport, 1)
}

// newSeededBalancer is newBalancer for the run of a process that drew the seed.
func newSeededBalancer(
	t *testing.T, now time.Time, s pollennode.Settings, transport pollennode.Transport, seed uint64,
) *pollennode.Balancer {
	t.Helper()
	metrics, err := pollenmetric.NewSet("test", "balancer", nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Domain, s.Format = "a", pollenpacket.Plain{}
	return pollennode.NewBalancer(now, s, pollennode.Dependencies{
		Transport: transport, Metrics: metrics, Log: pollenrecord.New(io.Discard, logrus.PanicLevel, nil), Seed: seed,
	})
}
