package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// Timing of the case in which core machines are replaced.
const (
	// successorDelay is the time between the loss of a machine and the start of the
	// empty one that replaces it.
	successorDelay = time.Second
	// betweenLosses is the time between the start of a successor and the next loss: more
	// than catchupS, after which the lost machine and its successor don't count any more.
	betweenLosses = (catchupS*1000 + 500) * time.Millisecond
	// settled is more than contactMs, so that the core is stable.
	settled = 8 * time.Second
)

// coreReplaced replaces two of three core machines one after the other, and then sends
// a desired state and reads it back.
func coreReplaced(s *system, trouble bool) (bool, error) {
	for z := range s.zones {
		m := s.addEdge(z, 10, true)
		s.seeds = append(s.seeds, m.at(controlPort))
	}
	for z := range s.zones {
		s.addEdge(z, 20, false)
	}
	for _, m := range s.edges {
		if err := s.start(m, true); err != nil {
			return false, err
		}
	}
	o := newOperator(s)
	routes := map[string]netip.AddrPort{"service-a": s.serviceAddress()}
	if _, ok := o.send(nil, http.MethodPut, "/pollenstep/config", document(3, routes, 0), 20*time.Second); !ok {
		return false, errors.New("the first desired state was not acknowledged")
	}
	time.Sleep(10 * time.Second)
	if _, ok := o.send(nil, http.MethodPut, "/pollenstep/config", document(5, routes, 5), 10*time.Second); !ok {
		return false, errors.New("the second desired state was not acknowledged before the disruption")
	}
	s.record.printf("operator  version 5 is acknowledged")
	if trouble {
		core := append([]*machine(nil), s.edges[:3]...)
		for i := range 2 {
			lost := core[i]
			lost.kill()
			o.gone[lost] = true
			s.record.printf("platform  %s (%s) is gone for good", lost.name, lost.ip)
			time.Sleep(successorDelay)
			successor := s.addEdge(i, 30, true)
			// The seeds are those of the operator's list when the file is written.
			s.seeds = nil
			for _, m := range s.edges {
				if !o.gone[m] && m != successor && m.dataDir != "" {
					s.seeds = append(s.seeds, m.at(controlPort))
				}
			}
			if err := s.start(successor, false); err != nil {
				return false, err
			}
			s.record.printf("platform  %s (%s) has started empty in its place", successor.name, successor.ip)
			time.Sleep(betweenLosses)
		}
	}
	time.Sleep(settled)
	s.record.printf("platform  no disruption for more than contactMs; the core is stable")
	_, acknowledged := o.send(nil, http.MethodPut, "/pollenstep/config", document(8, routes, 8), 12*time.Second)
	s.record.printf("operator  version 8 acknowledged: %t", acknowledged)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		o.next++
		m := s.edges[o.next%len(s.edges)]
		if o.gone[m] {
			continue
		}
		status, body := o.call(m, http.MethodGet, "/pollenstep/config", nil)
		var read struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &read) == nil {
			s.record.printf("operator  read version %d", read.Version)
			return read.Version < 5, nil
		}
	}
	for _, m := range s.edges {
		if !o.gone[m] && !m.running() {
			return false, fmt.Errorf("%s has ended", m.name)
		}
	}
	s.record.printf("operator  the desired state doesn't come: no machine returned it for 15 s")
	return true, nil
}
