package pollensoak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"pollenstep.example/pollenstep/platform"
)

// Timing of the operator.
const (
	operatorTimeout  = time.Second
	operatorInterval = 100 * time.Millisecond
	// applyDeadline is the time after an acknowledgement in which a read may still
	// return the previous document.
	applyDeadline = 3 * time.Second
)

// An operator submits documents through the proxies and reads them back.
type operator struct {
	run     *run
	proxies []*proxy
	client  *http.Client
	version uint64
	// acknowledged is the highest version that was acknowledged, at acknowledgedAt.
	acknowledged   uint64
	acknowledgedAt time.Time
	// submitted holds the submitted documents by version.
	submitted map[uint64][]byte
}

func newOperator(r *run, proxies []*proxy) *operator {
	return &operator{
		run: r, proxies: proxies, submitted: map[uint64][]byte{},
		client: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// url returns the document's URL at a random proxy.
func (o *operator) url(random *rand.Rand) string {
	return fmt.Sprintf("http://%s/pollenstep/config", o.proxies[random.IntN(len(o.proxies))].listener.Addr())
}

// declare submits a document with a higher version, and repeats that until it is
// acknowledged or refused, or the time limit has passed.
func (o *operator) declare(random *rand.Rand, limit time.Duration) {
	o.version += 1 + random.Uint64N(3)
	body := platform.StandInDocument(o.version, o.routes(), services)
	o.submitted[o.version] = body
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(operatorInterval) {
		switch status := requestStatus(o.client, http.MethodPut, o.url(random), body); status {
		case http.StatusOK:
			o.acknowledged, o.acknowledgedAt = o.version, time.Now()
			return
		case 0, http.StatusServiceUnavailable:
		default:
			o.run.check.addViolation("refused", fmt.Sprintf("submission of version %d was answered with status %d", o.version, status))
			return
		}
	}
}

// read reads the document through a random proxy and compares it with what was
// submitted. It returns false if no document was returned.
func (o *operator) read(random *rand.Rand) bool {
	expected, mustBeApplied := o.acknowledged, time.Since(o.acknowledgedAt) > applyDeadline
	response, err := o.client.Get(o.url(random))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		o.run.check.addViolation("document", "decode the document that was read: "+err.Error())
		return true
	}
	if mustBeApplied && got.Version < expected {
		o.run.check.addViolation("reverted", fmt.Sprintf("read version %d, but version %d was acknowledged %s before", got.Version, expected, time.Since(o.acknowledgedAt)))
	}
	if sent := o.submitted[got.Version]; sent == nil || !bytes.Equal(sent, body) {
		o.run.check.addViolation("document", fmt.Sprintf("the content of version %d differs from what was submitted", got.Version))
	}
	return true
}

// routes returns the declaration of the routes, whose timeouts differ by version.
func (o *operator) routes() (declared []platform.StandInRoute) {
	for i, r := range routes {
		declared = append(declared, platform.StandInRoute{
			Name: r.name, Kind: r.kind, Service: r.service, Address: o.run.addresses[i], Priority: r.priority,
			Objective: r.objective, Timeout: r.timeout + time.Duration(o.version)*time.Millisecond,
		})
	}
	return declared
}
