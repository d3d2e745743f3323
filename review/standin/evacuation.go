package main

import (
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Timing of the case in which an older order overtakes a newer one.
const (
	// freezeTime is the length of a freeze on golob-lb.
	freezeTime = 3500 * time.Millisecond
	// watchTime is how long new flows are watched after evacuateMs.
	watchTime = 8 * time.Second
	flowGap   = 100 * time.Millisecond
)

// evacuationWithdrawn evacuates a zone, takes that back, and evacuates the zone again,
// while one edge is frozen that was sent the order to take it back.
func evacuationWithdrawn(s *system, trouble bool) (bool, error) {
	for z := range s.zones {
		m := s.addEdge(z, 10, true)
		s.seeds = append(s.seeds, m.at(controlPort))
	}
	for z := range s.zones {
		s.addEdge(z, 20, false)
	}
	for z := range s.zones {
		s.addSide(z, 60, "service-a")
		s.addSide(z, 61, "service-a")
	}
	for _, m := range append(append([]*machine(nil), s.edges...), s.sides...) {
		if err := s.start(m, true); err != nil {
			return false, err
		}
	}
	const zone = "zone-c"
	type arrival struct {
		at   time.Time
		name string
	}
	var mu sync.Mutex
	var arrivals []arrival
	opened := map[netip.AddrPort]string{}
	for _, m := range s.sides {
		t, err := s.startTarget(m, func(t *target, flow netip.AddrPort, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			opened[flow] = t.machine.name
			if t.machine.zone == zone {
				arrivals = append(arrivals, arrival{at, t.machine.name})
			}
		})
		if err != nil {
			return false, err
		}
		defer t.stop()
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
	time.Sleep(1500 * time.Millisecond)
	done := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(done)
	answered := 0
	for z := range s.zones {
		c, err := s.startConsumer(r, z, 1)
		if err != nil {
			return false, err
		}
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(flowGap):
				}
				f := c.newFlow(service)
				if f.open() == outcomeAnswered && f.request([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), 1500*time.Millisecond) == outcomeAnswered {
					f.finish()
					mu.Lock()
					answered++
					mu.Unlock()
				}
				f.close()
			}
		}()
	}
	time.Sleep(8 * time.Second)
	frozen := s.edges[3]
	path := "/pollenstep/evacuation/" + zone
	if _, ok := o.send(nil, http.MethodPost, path, nil, ackMs*time.Millisecond); !ok {
		return false, errors.New("the evacuation was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	thawed := make(chan struct{})
	if trouble {
		frozen.signal(stopSignal)
		s.record.printf("platform  %s freezes", frozen.name)
		time.AfterFunc(freezeTime, func() {
			frozen.signal(continueSignal)
			s.record.printf("platform  %s wakes again", frozen.name)
			close(thawed)
		})
	} else {
		close(thawed)
	}
	if _, ok := o.send(frozen, http.MethodDelete, path, nil, ackMs*time.Millisecond); !ok {
		return false, errors.New("the end of the evacuation was not acknowledged")
	}
	acknowledged, ok := o.send(nil, http.MethodPost, path, nil, ackMs*time.Millisecond)
	if !ok {
		return false, errors.New("the second evacuation was not acknowledged")
	}
	s.record.printf("operator  the evacuation of %s is acknowledged, and is not taken back from here on", zone)
	<-thawed
	time.Sleep(time.Until(acknowledged.Add(evacuateMs*time.Millisecond + watchTime)))
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals {
		if after := a.at.Sub(acknowledged); after > evacuateMs*time.Millisecond {
			late++
			if late <= 5 {
				s.record.printf("target    %s took a new flow %.3f s after the acknowledgement", a.name, after.Seconds())
			}
		}
	}
	s.record.printf("targets   %d requests answered in all; %d new flows reached %s later than evacuateMs after the acknowledgement", answered, late, zone)
	if answered == 0 {
		return false, errors.New("no request was answered")
	}
	return late > 0, nil
}
