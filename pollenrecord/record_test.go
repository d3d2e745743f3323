package pollenrecord_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollenrecord"
)

// stuck blocks every write until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(data []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

// TestNeverBlocks logs far more than fits while nothing can be written.
func TestNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	r := pollenrecord.New(out, logrus.InfoLevel, pollenrecord.Fields{"process": "p"})
	for i := range 10_000 {
		r.Info("changed", pollenrecord.Fields{"number": i})
	}
	if r.Dropped() == 0 {
		t.Fatal("lines that cannot be written are not counted")
	}
	close(out.release)
	r.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	line, _, _ := bytes.Cut(out.text.Bytes(), []byte("\n"))
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil || fields["msg"] != "changed" || fields["process"] != "p" {
		t.Fatalf("line %q: %v", line, err)
	}
}

// TestDecisionsAreBounded asks for a line far more often than is allowed.
func TestDecisionsAreBounded(t *testing.T) {
	r := pollenrecord.New(&bytes.Buffer{}, logrus.InfoLevel, nil)
	now := time.Unix(1000, 0)
	wanted := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if r.AllowDecision(now) {
			wanted++
		}
	}
	if wanted < 200 || wanted > 300 {
		t.Fatalf("%d lines in 10 s; 20 a second and a burst of 60 are allowed", wanted)
	}
	if r.Dropped() != int64(10_000-wanted) {
		t.Fatalf("%d lines were left out and %d counted", 10_000-wanted, r.Dropped())
	}
}
