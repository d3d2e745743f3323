package pollenlink

import (
	"pollenstep.example/pollenstep/pollenpacket"
)

// MaxQueries is the number of flows in a datagram of queries: with headers it takes less
// than a packet of 1,200 B.
const MaxQueries = 60

// QuerySize is the size in bytes of what AppendQuery appends.
const QuerySize = flowSize + 4

// A Query is one flow of a datagram of queries, with the position that its caller last
// acknowledged.
type Query struct {
	Flow         pollenpacket.Flow
	Acknowledged uint32
}

// ReadQueries reads what was appended by calls of AppendQuery, up to MaxQueries; ok is
// false if data does not hold a whole number of queries.
func ReadQueries(data []byte) (queries []Query, ok bool) {
	n := len(data) / QuerySize
	if n == 0 || n > MaxQueries || len(data)%QuerySize != 0 {
		return nil, false
	}
	queries = make([]Query, n)
	for i := range queries {
		queries[i].Flow, queries[i].Acknowledged, _ = ReadQuery(data[i*QuerySize:])
	}
	return queries, true
}

// AppendAnswer appends the answer to one query, which is KindHolder, KindNeedsPacket or
// KindNotFound.
func AppendAnswer(data []byte, answer Kind) []byte { return append(data, answer.code()) }

// ReadAnswer reads what AppendAnswer appended; ok is false if it is no answer.
func ReadAnswer(code byte) (answer Kind, ok bool) {
	answer = kindFromCode(code)
	return answer, answer == KindHolder || answer == KindNeedsPacket || answer == KindNotFound
}
