package main

import (
	"errors"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Timing of the case in which a gate is down while an edge starts.
const (
	// gateDown is the time for which the stopped gate stays down: less than idleTimeoutMs,
	// and less than a target goes on retransmitting.
	gateDown    = 2500 * time.Millisecond
	flowCount   = 60
	requestGap  = 700 * time.Millisecond
	exitTimeout = graceS * time.Second
)

// plannedRestarts stops and starts an edge and a gate, one after the other, while flows
// are open. The targets live all the time.
func plannedRestarts(s *system, trouble bool) (bool, error) {
	for z := range s.zones {
		m := s.addEdge(z, 10, true)
		s.seeds = append(s.seeds, m.at(controlPort))
	}
	for z := range s.zones {
		s.addEdge(z, secondEdge, false)
	}
	for z := range s.zones {
		s.addSide(z, 60, "service-a")
	}
	for _, m := range append(append([]*machine(nil), s.edges...), s.sides...) {
		if err := s.start(m, true); err != nil {
			return false, err
		}
	}
	var targets []*target
	for _, m := range s.sides {
		t, err := s.startTarget(m, nil)
		if err != nil {
			return false, err
		}
		defer t.stop()
		targets = append(targets, t)
	}
	service := s.serviceAddress()
	o := newOperator(s)
	if _, ok := o.send(nil, http.MethodPut, "/pollenstep/config", document(3, map[string]netip.AddrPort{"service-a": service}, 0), 20*time.Second); !ok {
		return false, errors.New("the desired state was not acknowledged")
	}
	if !s.waitReady(20 * time.Second) {
		return false, errors.New("the edges did not become ready")
	}
	r := s.startRouter()
	time.Sleep(8 * time.Second)
	c, err := s.startConsumer(r, 0, 1)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	openedCount, answered, broken, unanswered := 0, 0, 0, 0
	end := time.Now().Add(18 * time.Second)
	for range flowCount {
		group.Add(1)
		go func() {
			defer group.Done()
			f := c.newFlow(service)
			defer f.close()
			if f.open() != outcomeAnswered {
				return
			}
			mu.Lock()
			openedCount++
			mu.Unlock()
			for time.Now().Before(end) {
				// The route's timeout does not matter here: the flow stays open.
				result := f.request([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), 8*time.Second)
				mu.Lock()
				switch result {
				case outcomeAnswered:
					answered++
				case outcomeSilent:
					unanswered++
				case outcomeReset:
					for _, t := range targets {
						if t.holds(f.src, service) {
							broken++
							s.record.printf("consumer  flow %s, open for %.3f s, got a reset; %s holds it and has sent none", f.src, time.Since(f.openedAt).Seconds(), t.machine.name)
						}
					}
				}
				mu.Unlock()
				if result != outcomeAnswered {
					return
				}
				time.Sleep(requestGap)
			}
			f.finish()
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		edge, gate := s.edges[3], s.sides[1]
		stop := func(m *machine) error {
			m.signal(terminateSignal)
			s.record.printf("platform  SIGTERM to %s", m.name)
			select {
			case <-m.exited:
				s.record.printf("platform  %s has stopped", m.name)
				return nil
			case <-time.After(exitTimeout):
				return errors.New(m.name + " did not stop in graceS")
			}
		}
		// ONLY restarts one of the two, to compare.
		only := os.Getenv("ONLY")
		for _, step := range []struct {
			name string
			run  func() error
		}{
			{"edge", func() error { return stop(edge) }},
			{"gate", func() error { return stop(gate) }},
			{"edge", func() error { return s.start(edge, false) }},
			{"", func() error { time.Sleep(gateDown); return nil }},
			{"gate", func() error { return s.start(gate, false) }},
		} {
			if only != "" && step.name != "" && step.name != only {
				continue
			}
			if err := step.run(); err != nil {
				return false, err
			}
		}
	}
	group.Wait()
	s.record.printf("consumer  %d flows opened, %d requests answered, %d not; %d flows reset though their target held them", openedCount, answered, unanswered, broken)
	if openedCount == 0 {
		return false, errors.New("no flow opened")
	}
	return broken > 0, nil
}
