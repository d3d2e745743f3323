package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// An operator submits the desired state, and reads it back. It tries one node after the
// other and gives up a node after a second without an answer.
type operator struct {
	c      *scenario
	client *http.Client
	turn   int
}

func newOperator(c *scenario) *operator {
	return &operator{c: c, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// document returns a desired state with the routes of the scenario.
func (c *scenario) document(version int) []byte {
	var routes, services []map[string]any
	for _, r := range c.routes {
		routes = append(routes, map[string]any{
			"name": "r-" + r.name, "host": r.address.Addr(), "pathPrefix": fmt.Sprintf("/%d/", r.address.Port()), "type": r.kind,
			"timeoutMs": r.limit.Milliseconds(), "latencySloMs": 200, "priority": 1, "service": r.service, "maxAttempts": 2,
		})
	}
	for _, s := range serviceNames {
		services = append(services, map[string]any{
			"name": s, "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": false, "coldStartS": 2.0, "coldPerS": 0.0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return body
}

func (o *operator) call(m *machine, method, path string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", m.at(controlPort), path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// declare sends a desired state to one node after the other until it is acknowledged, and
// returns the node that did; nil if none did until the end.
func (o *operator) declare(version int, nodes func() []*machine, end time.Time) *machine {
	body := o.c.document(version)
	last := -1
	for tries := 1; time.Now().Before(end); tries++ {
		list := nodes()
		m := list[o.turn%len(list)]
		o.turn++
		status, _ := o.call(m, http.MethodPut, "/pollenstep/config", body)
		if status != last || tries%50 == 0 {
			o.c.record.printf("operator sends version %d to %s, attempt %d: status %d", version, m.name, tries, status)
		}
		last = status
		if status == http.StatusOK {
			return m
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// read asks one node after the other for the desired state until one returns it, and
// returns its version; 0 if none did until the end.
func (o *operator) read(nodes func() []*machine, end time.Time) int {
	last := -1
	for tries := 1; time.Now().Before(end); tries++ {
		list := nodes()
		m := list[o.turn%len(list)]
		o.turn++
		status, answer := o.call(m, http.MethodGet, "/pollenstep/config", nil)
		if status != last || tries%50 == 0 {
			o.c.record.printf("operator reads the desired state at %s, attempt %d: status %d", m.name, tries, status)
		}
		last = status
		var got struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(answer, &got) == nil {
			o.c.record.printf("%s answers with version %d", m.name, got.Version)
			return got.Version
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
