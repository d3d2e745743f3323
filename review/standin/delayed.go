package main

import (
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Timing of the case in which a delayed copy of a SYN ends an open flow.
const (
	openGap        = 40 * time.Millisecond
	openFor        = time.Second
	evacuateAfter  = 2 * time.Second
	listenFor      = 6 * time.Second
	secondEdge     = 20
	requestTimeout = 1500 * time.Millisecond
)

// delayedOpening opens flows while the gate of one of two targets is frozen, so that the
// last copy of each SYN opens the flow at the other target. The zone of that target is
// evacuated, which leaves its open flows where they are. Then the gate wakes.
func delayedOpening(s *system, trouble bool) (bool, error) {
	for z := range s.zones {
		m := s.addEdge(z, 10, true)
		s.seeds = append(s.seeds, m.at(controlPort))
	}
	for z := range s.zones {
		s.addEdge(z, secondEdge, false)
	}
	s.addSide(0, 60, "service-a")
	s.addSide(1, 60, "service-a")
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
	c, err := s.startConsumer(r, 2, 1)
	if err != nil {
		return false, err
	}
	frozen := s.sides[0]
	start := time.Now()
	if trouble {
		// The whole machine stands still: the gate and the target beside it.
		frozen.signal(stopSignal)
		targets[0].standstill.Lock()
		s.record.printf("platform  %s freezes", frozen.name)
		time.AfterFunc(freezeTime, func() {
			frozen.signal(continueSignal)
			targets[0].standstill.Unlock()
			s.record.printf("platform  %s wakes again", frozen.name)
		})
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	openedCount, answered, broken := 0, 0, 0
	evacuated := make(chan bool, 1)
	time.AfterFunc(evacuateAfter, func() {
		_, ok := o.send(nil, http.MethodPost, "/pollenstep/evacuation/"+s.zones[1], nil, ackMs*time.Millisecond)
		evacuated <- ok
	})
	for time.Since(start) < openFor {
		group.Add(1)
		go func() {
			defer group.Done()
			f := c.newFlow(service)
			defer f.close()
			if f.open() != outcomeAnswered || f.request([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), requestTimeout) != outcomeAnswered {
				return
			}
			mu.Lock()
			openedCount++
			mu.Unlock()
			end := time.After(time.Until(start.Add(listenFor)))
			for {
				select {
				case p := <-f.in:
					if p.flags&flagRST == 0 {
						continue
					}
					for _, t := range targets {
						if t.holds(f.src, service) {
							mu.Lock()
							broken++
							mu.Unlock()
							s.record.printf("consumer  flow %s got a reset; %s holds it, opened %.3f s ago, and has sent none", f.src, t.machine.name, time.Since(f.openedAt).Seconds())
						}
					}
					return
				case <-end:
					if f.request([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), requestTimeout) == outcomeAnswered {
						mu.Lock()
						answered++
						mu.Unlock()
					}
					f.finish()
					return
				}
			}
		}()
		time.Sleep(openGap)
	}
	group.Wait()
	if !<-evacuated {
		return false, errors.New("the evacuation was not acknowledged")
	}
	s.record.printf("consumer  %d flows opened and answered; %d answered again at their end; %d reset though their target held them", openedCount, answered, broken)
	if openedCount == 0 {
		return false, errors.New("no flow opened")
	}
	return broken > 0, nil
}
