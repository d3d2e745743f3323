package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

var scenarios = map[string]func(c *scenario) error{
	"first-start": firstStart, "first-acknowledgement": firstAcknowledgement, "other-writer": otherWriter, "seed-order": seedOrder,
}

const gateCount = 4

// firstStart removes the first seed for good during the first start of the system, and adds
// an empty machine with its roles at another address, as replace_core does. With
// VARIANT=restart it kills the process only, which starts again a second later.
func firstStart(c *scenario) error {
	c.build(gateCount)
	begin := time.Now()
	if err := c.start(); err != nil {
		return err
	}
	if c.trouble {
		time.Sleep(300 * time.Millisecond)
		lost := c.machines[0]
		lost.kill(c)
		wait, successor := time.Second, lost
		if os.Getenv("VARIANT") != "restart" {
			c.remove(lost)
			wait = 2 * time.Second
			successor = &machine{name: "edge-celje-a-3", role: "balancer", zone: lost.zone, ip: c.address(1, 3), disk: true}
		}
		time.Sleep(wait)
		if err := successor.start(c, false); err != nil {
			return err
		}
		if successor != lost {
			c.add(successor)
			go c.router.probe(successor)
		}
	}
	// All machines are back now; the system has recoveryS from here on.
	back := time.Now()
	accepted := c.operator.declare(3, c.edges, back.Add(40*time.Second))
	if accepted == nil {
		c.violation("Fault", "no desired state was acknowledged within %s of the first start, %s after all machines were back, and so no request can be served",
			time.Since(begin).Round(time.Second), time.Since(back).Round(time.Second))
	} else {
		c.record.printf("%s acknowledges version 3 after %s", accepted.name, time.Since(begin).Round(time.Millisecond))
	}
	wait, err := c.traffic(time.Now().Add(8 * time.Second))
	if err != nil {
		return err
	}
	wait()
	if c.served == 0 {
		c.violation("Fault", "no request was served")
	}
	return nil
}

// firstAcknowledgement takes the disk of one machine, the one with the oldest store, right
// after the first desired state was acknowledged, as after_ack_wipe does with "oldest".
func firstAcknowledgement(c *scenario) error {
	c.build(gateCount)
	if err := c.start(); err != nil {
		return err
	}
	accepted := c.operator.declare(3, c.edges, time.Now().Add(20*time.Second))
	if accepted == nil {
		return errors.New("the first desired state was not acknowledged")
	}
	c.record.printf("%s acknowledges version 3", accepted.name)
	if c.trouble {
		oldest := c.machines[0]
		oldest.kill(c)
		if err := oldest.wipe(c); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if err := oldest.start(c, false); err != nil {
			return err
		}
	}
	back := time.Now()
	if version := c.operator.read(c.edges, back.Add(30*time.Second)); version != 3 {
		c.violation("LOST", "version 3 was acknowledged; read back for 30 s after all machines were back, the desired state is %s", describe(version))
	}
	wait, err := c.traffic(time.Now().Add(8 * time.Second))
	if err != nil {
		return err
	}
	wait()
	if c.served == 0 {
		c.violation("RECOVER", "no request was served %s after all machines were back", time.Since(back).Round(time.Second))
	}
	return nil
}

// otherWriter has another writer send one report in which fields are missing to the gate of a
// target that serves open flows.
func otherWriter(c *scenario) error {
	c.build(gateCount)
	if err := c.start(); err != nil {
		return err
	}
	if c.operator.declare(3, c.edges, time.Now().Add(20*time.Second)) == nil {
		return errors.New("the first desired state was not acknowledged")
	}
	time.Sleep(5 * time.Second)
	wait, err := c.traffic(time.Now().Add(25 * time.Second))
	if err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if c.trouble {
		t := c.targets[0]
		status := putReport(t.m, "i-0ther001", map[string]any{
			"service": t.m.service, "address": t.m.at(appPort), "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
		})
		c.record.printf("another writer sends %s a report without zone, version, slots and coldRemainingMs: status %d", t.m.name, status)
	}
	wait()
	return nil
}

// seedOrder gives each machine the same three seeds at the first start, with the one of its own
// zone first.
func seedOrder(c *scenario) error {
	c.ownZoneFirst = c.trouble
	c.build(gateCount)
	if err := c.start(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	end := time.Now().Add(80 * time.Second)
	for version := 3; version <= 17 && time.Now().Before(end); version += 2 {
		accepted := c.operator.declare(version, c.edges, time.Now().Add(20*time.Second))
		if accepted == nil {
			return fmt.Errorf("version %d was not acknowledged", version)
		}
		c.record.printf("%s acknowledges version %d", accepted.name, version)
		time.Sleep(applyTime + 500*time.Millisecond)
		for range 5 {
			for _, m := range c.edges() {
				got := c.operator.read(func() []*machine { return []*machine{m} }, time.Now().Add(500*time.Millisecond))
				if got != 0 && got < version {
					c.violation("CONFIG", "%s answers a read with version %d later than configApplyMs after the acknowledgement of version %d", m.name, got, version)
				}
			}
		}
	}
	return nil
}

func describe(version int) string {
	if version == 0 {
		return "answered by no node"
	}
	return fmt.Sprintf("version %d", version)
}
