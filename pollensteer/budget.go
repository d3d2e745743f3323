package pollensteer

import "time"

// questionBits is what one question to a gate takes of a link, in bits: header,
// flow and position, with those of UDP, IP and Ethernet.
const questionBits = 8 * (32 + 8 + 20 + 18)

// Shares and limits of searches.
const (
	// searchShare is the part of the link that questions may take; the rest is
	// left to opening packets, flows that are found, and beats.
	searchShare = 0.4
	// maxQuestions bounds the questions in a second whatever the link is: a tenth
	// of a core at 10 us for each.
	maxQuestions = 10_000
	// searchBurst is the time whose questions may be asked at once.
	searchBurst = 250 * time.Millisecond
	// askAgain is how long the answers to questions are waited for before the
	// gates that did not answer are asked again: the first retransmission of a
	// caller comes after 200 ms.
	askAgain = 150 * time.Millisecond
)

// A budget bounds the questions of a balancer. It answers the return of power:
// every old flow is searched at every gate, and the questions would fill a thin
// link so that neither they nor opening packets arrive.
type budget struct {
	// rate is the number of questions in a second.
	rate float64
	left float64
	at   time.Time
}

// newBudget returns the budget for a link of so many bits in a second; zero
// means that the link is not known.
func newBudget(now time.Time, link float64) budget {
	rate := float64(maxQuestions)
	if link > 0 {
		rate = min(rate, link*searchShare/questionBits)
	}
	return budget{rate: rate, left: rate * searchBurst.Seconds(), at: now}
}

// take takes so many questions from the budget. A search of more gates than a
// burst has questions is allowed whenever the budget is full. One that is not
// urgent leaves half of the budget to those that are.
func (b *budget) take(now time.Time, questions int, urgent bool) bool {
	most := b.rate * searchBurst.Seconds()
	b.left = min(most, b.left+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	needed := min(most, float64(questions))
	if !urgent {
		needed = min(most, needed+most/2)
	}
	if b.left < needed {
		return false
	}
	b.left -= float64(questions)
	return true
}
