// Package pollenstep is a layer-4 load balancer whose balancers keep no state
// per flow. New wires one process of it with the defaults.
package pollenstep

import (
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollengateway"
	"pollenstep.example/pollenstep/pollenquorum"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollensidecar"
)

// Version names the release.
const Version = "0.1.0"

// A Process is one process of the system.
type Process interface {
	// Run serves until a planned stop has finished, and returns nil then, or
	// until something the process depends on fails.
	Run() error
}

// An Option changes what New makes.
type Option func(*options)

type options struct {
	settings *pollensettings.Settings
	found    bool
	now      time.Time
}

// WithSettings sets the settings, which choose the role.
func WithSettings(s *pollensettings.Settings) Option { return func(o *options) { o.settings = s } }

// WithFound makes an empty control host the first of a new system.
func WithBootstrap(found bool) Option { return func(o *options) { o.found = found } }

// WithStart sets the time of the start, which tells one start of a process
// from every other.
func WithStart(now time.Time) Option { return func(o *options) { o.now = now } }

// ErrRole is returned when the settings name no role that runs.
var ErrRole = errors.New("settings name no role that runs")

// New returns a new Process with its sockets open.
func New(opts ...Option) (Process, error) {
	o := options{}
	for _, opt := range opts {
		opt(&o)
	}
	if o.settings == nil {
		return nil, errors.Wrap(ErrRole, "no settings")
	}
	switch o.settings.Role {
	case pollensettings.RoleControl:
		return pollenquorum.New(o.now, o.settings, o.found)
	case pollensettings.RoleBalancer:
		return pollengateway.New(o.now, o.settings)
	case pollensettings.RoleAgent:
		return pollensidecar.New(o.now, o.settings)
	default:
		return nil, errors.Wrapf(ErrRole, "role %q", o.settings.Role)
	}
}
