package pollenstandin

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// A Caller sends requests over HTTP/3 from one address.
type Caller struct {
	tally     *Tally
	transport *http3.Transport
	client    *http.Client
	base      string
}

// NewCaller returns a new Caller that sends to the service address. It connects on
// the first request.
func NewCaller(service netip.AddrPort, config *tls.Config, tally *Tally) *Caller {
	const (
		idleTimeout     = 30 * time.Second
		keepAlivePeriod = 5 * time.Second
	)
	transport := &http3.Transport{
		TLSClientConfig: config,
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlivePeriod},
	}
	return &Caller{
		tally: tally, transport: transport,
		client: &http.Client{Transport: transport}, base: "https://" + service.String(),
	}
}

// Close closes the caller's connection.
func (c *Caller) Close() { _ = c.transport.Close() }

// An answer is the part of a response that callers check.
type answer struct {
	status int
	body   string
	// refused, execution and repeated come from the Pollen-* headers.
	refused   string
	execution string
	repeated  bool
}

func (c *Caller) do(ctx context.Context, method, path, body string, header map[string]string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{
		status: response.StatusCode, body: string(data),
		refused: response.Header.Get("Pollen-Refused"), execution: response.Header.Get("Pollen-Execution"),
		repeated: response.Header.Get("Pollen-Repeated") != "",
	}, nil
}

// maxAttempts is the largest number of times that a caller sends one registration.
const maxAttempts = 6

// Register sends a registration with an idempotency key until it is answered, up to
// maxAttempts times. After a lost answer or a refusal it resends with the same key.
// If repeat is set, it sends the answered registration again and counts
// CountWrongAnswer when the answers differ.
func (c *Caller) Register(ctx context.Context, path, key string, repeat bool) {
	c.tally.Add(CountRequests, 1)
	first, ok := c.registerUntilAnswered(ctx, path, key)
	if !ok {
		c.tally.Add(CountRefused, 1)
		return
	}
	c.tally.Add(CountAnswered, 1)
	if !repeat {
		return
	}
	second, ok := c.registerUntilAnswered(ctx, path, key)
	if !ok {
		return
	}
	c.tally.Add(CountRepeated, 1)
	if second != first {
		c.tally.Add(CountWrongAnswer, 1)
	}
}

// registerUntilAnswered sends a registration up to maxAttempts times; ok is false
// if none was answered. The pause between attempts doubles each time.
func (c *Caller) registerUntilAnswered(ctx context.Context, path, key string) (body string, ok bool) {
	const attemptTimeout = 3 * time.Second
	for n := range maxAttempts {
		// The time distinguishes the attempts of a repeated registration from those
		// of the first one.
		attempt := key + "/" + strconv.Itoa(n) + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		a, err := c.do(attemptCtx, http.MethodPost, path, key, map[string]string{
			"Idempotency-Key": key, "Attempt": attempt, "Request-Timeout": "2s",
		})
		cancel()
		switch {
		case err == nil && a.refused == "" && a.status == http.StatusOK:
			if !strings.HasPrefix(a.body, path+" "+key+" by ") {
				c.tally.Add(CountWrongAnswer, 1)
			}
			return a.body, true
		case err == nil && a.execution == "not-run":
			c.tally.CheckNotRun(key, attempt)
		case err == nil && a.execution == "unknown":
			c.tally.Add(CountUnknown, 1)
		}
		if ctx.Err() != nil {
			return "", false
		}
		const pause = 100 * time.Millisecond
		time.Sleep(pause << n)
	}
	return "", false
}

// Download fetches a sheet once and checks that the answer is for its path.
func (c *Caller) Download(ctx context.Context, path string) {
	c.tally.Add(CountRequests, 1)
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.do(ctx, http.MethodGet, path, "", nil)
	switch {
	case err == nil && a.status == http.StatusOK:
		if !strings.HasPrefix(a.body, path+" ") {
			c.tally.Add(CountWrongAnswer, 1)
		}
		c.tally.Add(CountAnswered, 1)
	default:
		c.tally.Add(CountRefused, 1)
	}
}

// A Feed is an open stream of numbered lines that a caller receives. It is safe
// for concurrent use.
type Feed struct {
	caller *Caller
	cancel context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex
	server       string
	lines        int
	lastReceived time.Time
	failure      string
}

// OpenFeed opens a feed and reads it in the background until Close. Close also
// closes the caller's connection, so each feed needs its own Caller.
func (c *Caller) OpenFeed(ctx context.Context, path string) (*Feed, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := c.client.Do(request) //nolint:bodyclose // the reader of the feed closes it
	if err != nil {
		cancel()
		return nil, err
	}
	f := &Feed{
		caller: c, cancel: cancel, done: make(chan struct{}),
		server: response.Header.Get("Server-Name"), lastReceived: time.Now(),
	}
	go f.readLines(ctx, response.Body)
	return f, nil
}

// readLines checks that the lines are numbered without gaps from 0. The end of the
// stream is a failure unless the context ended first.
func (f *Feed) readLines(ctx context.Context, body io.ReadCloser) {
	defer close(f.done)
	defer func() { _ = body.Close() }()
	scanner := bufio.NewScanner(body)
	for want := 0; scanner.Scan(); want++ {
		f.mu.Lock()
		f.lastReceived = time.Now()
		f.lines++
		if scanner.Text() != strconv.Itoa(want) {
			f.failure = fmt.Sprintf("received line %q, want %d", scanner.Text(), want)
		}
		f.mu.Unlock()
	}
	if ctx.Err() == nil {
		f.mu.Lock()
		f.failure = fmt.Sprintf("stream ended: %v", scanner.Err())
		f.mu.Unlock()
	}
}

// Server returns the name of the backend server that sends the feed.
func (f *Feed) Server() string { return f.server }

// Lines returns the number of lines received so far.
func (f *Feed) Lines() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines
}

// Failure describes why the feed is broken, or returns an empty string if it is
// not. A feed is also broken if it received no line for longer than silence.
func (f *Feed) Failure(now time.Time, silence time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure == "" && now.Sub(f.lastReceived) > silence {
		return fmt.Sprintf("no line received for %s", now.Sub(f.lastReceived).Round(time.Millisecond))
	}
	return f.failure
}

// Close ends the feed and the caller's connection.
func (f *Feed) Close() {
	f.cancel()
	f.caller.Close()
	<-f.done
}
