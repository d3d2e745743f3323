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

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(data)
}

// TestLoggerDoesNotBlock guards against a log that stops the process when its
// output blocks. It logs far more lines than the queue holds while no write
// returns: the calls must return, and the dropped lines must be counted.
func TestLoggerDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	r := pollenrecord.New(out, logrus.InfoLevel, pollenrecord.Fields{"process": "p"})
	for i := range 10_000 {
		r.Info("changed", pollenrecord.Fields{"number": i})
	}
	if r.Dropped() == 0 {
		t.Fatal("dropped lines are not counted")
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

// TestDecisionLinesAreRateLimited guards against a flood of lines about single
// flows. It asks for 1000 lines per second for 10 s, which is far above the limit.
func TestDecisionLinesAreRateLimited(t *testing.T) {
	r := pollenrecord.New(&bytes.Buffer{}, logrus.InfoLevel, nil)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if r.AllowDecision(now) {
			allowed++
		}
	}
	if allowed < 200 || allowed > 300 {
		t.Fatalf("%d lines allowed in 10 s, want about 260: 20 per second and a burst of 60", allowed)
	}
	if r.Dropped() != int64(10_000-allowed) {
		t.Fatalf("%d lines were refused, but %d counted as dropped", 10_000-allowed, r.Dropped())
	}
}

// A slowWriter takes a while for each line, like a pipe whose reader is busy.
type slowWriter struct {
	mu      sync.Mutex
	written int
}

func (s *slowWriter) Write(line []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written++
	return len(line), nil
}

// TestCloseWaitsForTheLastLine guards against a process that ends while its last line
// is being written: no planned stop had the line that it has stopped.
func TestCloseWaitsForTheLastLine(t *testing.T) {
	out := &slowWriter{}
	log := pollenrecord.New(out, logrus.InfoLevel, nil)
	log.Info("stopped", nil)
	// The writer takes the line out of the queue before it writes it.
	time.Sleep(5 * time.Millisecond)
	log.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.written != 1 {
		t.Fatal("the last line is lost at a stop")
	}
}
