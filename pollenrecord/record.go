// Package pollenrecord writes structured log lines without blocking the code that
// logs: lines that cannot be written in time are counted and dropped.
package pollenrecord

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollenbucket"
)

// Limits of the log.
const (
	// queueSize is the maximum number of lines that wait to be written.
	queueSize = 512
	// decisionRate, in lines per second, and decisionBurst, in lines, limit the
	// lines about single flows, so that logging takes less than 1 % of the
	// processor time of a small host.
	decisionRate  = 20
	decisionBurst = 60
	// reportInterval is the minimum time between two lines that report the
	// number of dropped lines.
	reportInterval = 5 * time.Second
)

// Fields are the structured fields of a log line, such as the inputs and the
// outcome of a decision.
type Fields = logrus.Fields

// A Logger writes the log lines of one process. It is safe for concurrent use.
type Logger struct {
	log     *logrus.Entry
	lines   chan []byte
	dropped atomic.Int64
	// unwritten is the number of lines that were queued and are not written yet.
	unwritten atomic.Int64

	// mu guards the bucket for decisions and the state of ReportDropped.
	mu              sync.Mutex
	decisions       pollenbucket.Bucket
	reportedAt      time.Time
	reportedDropped int64
}

// New returns a new Logger that writes JSON lines at the level and above, each with
// the given fields, to out. A goroutine writes the lines as long as the process
// runs; errors of out are ignored.
func New(out io.Writer, level logrus.Level, fields Fields) *Logger {
	r := &Logger{lines: make(chan []byte, queueSize), decisions: pollenbucket.New(decisionRate, decisionBurst)}
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	log.SetOutput(r)
	r.log = log.WithFields(fields)
	go func() {
		for line := range r.lines {
			// There is no other place to report a failed write of the log.
			_, _ = out.Write(line)
			r.unwritten.Add(-1)
		}
	}()
	return r
}

// Write implements io.Writer for the underlying log. It queues one line, or drops
// and counts the line when the queue is full, and never returns an error.
func (r *Logger) Write(line []byte) (int, error) {
	r.unwritten.Add(1)
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.unwritten.Add(-1)
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (r *Logger) Dropped() int64 { return r.dropped.Load() }

// Info logs a change of the process's state: a start, a stop, changed knowledge
// about other processes, or a dependency lost or regained.
func (r *Logger) Info(message string, fields Fields) { r.log.WithFields(fields).Info(message) }

// Warn logs a fault that may need an operator's attention.
func (r *Logger) Warn(message string, err error, fields Fields) {
	r.log.WithFields(fields).WithError(err).Warn(message)
}

// AllowDecision reports whether the rate limit allows a line about a single flow or
// request now, and counts the line as dropped if not. It is separate from Decision
// to save the cost of building the fields.
func (r *Logger) AllowDecision(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed := r.decisions.TakeOne(now)
	if !allowed {
		r.dropped.Add(1)
	}
	return allowed
}

// Decision logs the decision on one flow or request. AllowDecision must have
// returned true for it.
func (r *Logger) Decision(message string, fields Fields) { r.log.WithFields(fields).Info(message) }

// ReportDropped logs the number of dropped lines if it has grown since the last
// report, at most once per reportInterval.
func (r *Logger) ReportDropped(now time.Time) {
	r.mu.Lock()
	dropped := r.dropped.Load()
	due := dropped > r.reportedDropped && now.Sub(r.reportedAt) >= reportInterval
	if due {
		r.reportedAt, r.reportedDropped = now, dropped
	}
	r.mu.Unlock()
	if due {
		r.log.WithField("left", dropped).Info("log lines dropped since the start")
	}
}

// Close waits until every queued line is written, at most for the limit. The Logger
// can still be used afterwards.
func (r *Logger) Close(limit time.Duration) {
	const pollInterval = 5 * time.Millisecond
	for waited := time.Duration(0); r.unwritten.Load() > 0 && waited < limit; waited += pollInterval {
		time.Sleep(pollInterval)
	}
}
