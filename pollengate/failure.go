package pollengate

import (
	"math"
	"time"
)

// Bounds of failures.
const (
	// outcomeShare is the weight of one answer in the mean: its 1/outcomeShare.
	outcomeShare = 16
	// failingShare is the part of failed answers from which on a backend server is
	// avoided: four failures in a row, or every third answer for long. A server
	// that sheds a request now and then stays below.
	failingShare = 0.22
	// forgiveTime is the time in which the mean halves while nothing is answered,
	// so that a server which was avoided is tried again.
	forgiveTime = 2 * time.Second
)

// failures is the mean of the answers that said that the backend server failed.
// What a server says of its own health is not asked: it may be wrong either way.
type failures struct {
	share float64
	at    time.Time
}

func (f *failures) add(now time.Time, failed bool) {
	f.share = f.present(now)
	f.at = now
	value := 0.0
	if failed {
		value = 1
	}
	f.share += (value - f.share) / outcomeShare
}

// present returns the mean at the time.
func (f *failures) present(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(forgiveTime))
}

func (f *failures) failing(now time.Time) bool { return f.present(now) >= failingShare }
