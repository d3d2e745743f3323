// Package pollenrecord writes structured log lines without ever blocking the
// code that logs: lines that cannot be written in time are counted and left
// out.
package pollenrecord

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of the log.
const (
	// queueSize bounds the lines that wait to be written.
	queueSize = 512
	// decisionRate and decisionBurst bound the lines about single flows, in
	// lines a second and lines, so that the log's processor time stays below a
	// hundredth of a small host's.
	decisionRate  = 20
	decisionBurst = 60
	// reportInterval is the least time between two lines that tell how many
	// were left out.
	reportInterval = 5 * time.Second
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// A Recorder writes the lines of one process. It is safe for concurrent use.
type Logger struct {
	log   *logrus.Entry
	lines chan []byte
	left  atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	reported time.Time
	told     int64
}

// New returns a new Recorder that writes JSON lines with the fields to out.
func New(out io.Writer, level logrus.Level, fields Fields) *Logger {
	r := &Logger{lines: make(chan []byte, queueSize), tokens: decisionBurst}
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	log.SetOutput(r)
	r.log = log.WithFields(fields)
	go func() {
		for line := range r.lines {
			// A log that cannot be written has nowhere to tell so.
			_, _ = out.Write(line)
		}
	}()
	return r
}

// Write implements io.Writer for the log: it queues one line.
func (r *Logger) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.left.Add(1)
	}
	return len(line), nil
}

// Left returns the number of lines that were left out.
func (r *Logger) Dropped() int64 { return r.left.Load() }

// Change tells that the process believes something else now, or that it
// started, stopped, or lost or regained something it depends on.
func (r *Logger) Info(text string, fields Fields) { r.log.WithFields(fields).Info(text) }

// Fault tells of something that an operator may have to look at.
func (r *Logger) Warn(text string, err error, fields Fields) {
	r.log.WithFields(fields).WithError(err).Warn(text)
}

// Wants reports whether a line about a single flow may be written now. Asking
// first spares the cost of making the fields.
func (r *Logger) AllowDecision(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refilled.IsZero() {
		r.tokens = min(decisionBurst, r.tokens+now.Sub(r.refilled).Seconds()*decisionRate)
	}
	r.refilled = now
	if r.tokens < 1 {
		r.left.Add(1)
		return false
	}
	r.tokens--
	return true
}

// Decision tells how one flow or request was decided on; Wants must have
// allowed it.
func (r *Logger) Decision(text string, fields Fields) { r.log.WithFields(fields).Info(text) }

// ReportLeft writes how many lines were left out, if there are any new ones.
func (r *Logger) ReportDropped(now time.Time) {
	r.mu.Lock()
	left := r.left.Load()
	due := left > r.told && now.Sub(r.reported) >= reportInterval
	if due {
		r.reported, r.told = now, left
	}
	r.mu.Unlock()
	if due {
		r.log.WithField("left", left).Info("log lines left out since the start")
	}
}

// Close waits until the queued lines are written, or until the limit.
func (r *Logger) Close(limit time.Duration) {
	const poll = 5 * time.Millisecond
	for waited := time.Duration(0); len(r.lines) > 0 && waited < limit; waited += poll {
		time.Sleep(poll)
	}
}
