package pollencheck

import (
	"fmt"

	"pollenstep.example/pollenstep/pollendocument"
)

// connectionsBelowSlots reports services whose slots cannot all be in use, since a
// backend server holds fewer flows. With HTTP delivery a flow may carry several
// requests, so the slots can be in use.
func connectionsBelowSlots(in *Input) []Finding {
	return in.services(func(s *pollendocument.Service) (text, expected string) {
		if s.Delivery != pollendocument.DeliveryRelay || s.ConnectionLimit >= s.Slots {
			return "", ""
		}
		return fmt.Sprintf("connections %d is less than slots %d", s.ConnectionLimit, s.Slots),
			"at least as many connections as slots"
	})
}
