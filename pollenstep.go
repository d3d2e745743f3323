// Package pollenstep is a layer-4 load balancer whose balancers store no state per
// flow. New assembles one process of it with the default components.
package pollenstep

import (
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollengateway"
	"pollenstep.example/pollenstep/pollenquorum"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollensidecar"
)

// Version is the version of the release.
const Version = "0.1.0"

// A Process is one process of the system.
type Process interface {
	// Run serves until a planned stop has completed, and then returns nil. It
	// returns an error if something that the process depends on fails.
	Run() error
}

// An Option configures the process that New returns.
type Option func(*options)

type options struct {
	settings  *pollensettings.Settings
	bootstrap bool
	startTime time.Time
}

// WithSettings sets the settings. Their role selects the kind of process.
func WithSettings(s *pollensettings.Settings) Option { return func(o *options) { o.settings = s } }

// WithBootstrap makes a control host with an empty data folder the first one of a
// new system. Other roles ignore it.
func WithBootstrap(bootstrap bool) Option { return func(o *options) { o.bootstrap = bootstrap } }

// WithStart sets the start time, which distinguishes this start of the process from
// all other ones.
func WithStart(startTime time.Time) Option { return func(o *options) { o.startTime = startTime } }

// ErrRole is the cause of the error that New returns if there are no settings or
// their role is not that of a process.
var ErrRole = errors.New("settings do not specify the role of a process")

// New returns a new Process with its sockets open. It needs WithSettings, and fails
// with ErrRole if no process has the role.
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
		return pollenquorum.New(o.startTime, o.settings, o.bootstrap)
	case pollensettings.RoleBalancer:
		return pollengateway.New(o.startTime, o.settings)
	case pollensettings.RoleAgent:
		return pollensidecar.New(o.startTime, o.settings)
	default:
		return nil, errors.Wrapf(ErrRole, "role %q", o.settings.Role)
	}
}
