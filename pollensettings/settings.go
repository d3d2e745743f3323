// Package pollensettings reads the settings file of a process and validates it
// completely before the process starts.
package pollensettings

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkey"
	"pollenstep.example/pollenstep/pollenyaml"
)

// A Role is the kind of process that the settings are for.
type Role string

// Roles.
const (
	RoleControl  Role = "control"
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// A LogFormat is the encoding of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// A LogLevel is the least severe level that is logged.
type LogLevel string

// Log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Settings configure one process.
type Settings struct {
	Role   Role
	Name   pollendocument.ServerName
	Domain pollendocument.DomainName
	// Address is where the process receives datagrams over UDP and calls over TCP.
	Address netip.AddrPort
	// Admin is where metrics and health are served over HTTP; the invalid
	// address turns this off.
	Admin netip.AddrPort
	// ControlHosts lists the addresses of all control hosts, an odd number of at
	// most MaxControlHosts.
	ControlHosts []netip.AddrPort
	Keys         pollenkey.Files

	LogLevel  LogLevel
	LogFormat LogFormat

	// DataFolder is the path of a control host's data folder.
	DataFolder string
	// ElectionTimeout is that of the control hosts. It must be the same at all of
	// them.
	ElectionTimeout time.Duration

	// Bind replaces the IP address of each service address that a balancer
	// listens on; the port stays. The invalid address replaces nothing.
	Bind netip.Addr

	// Announce is the address at which a backend server announces itself to its
	// agent.
	Announce netip.AddrPort
	// Placement and Ramp are names from the registries pollenflow.Placements and
	// pollenadmission.Ramps. The default is the first name of the registry.
	Placement string
	Ramp      string
	// DrainTimeout bounds how long a planned stop waits for open work.
	DrainTimeout time.Duration
}

// MaxControlHosts is the largest number of control hosts.
const MaxControlHosts = 7

const (
	minElectionTimeout     = 50 * time.Millisecond
	maxElectionTimeout     = 10 * time.Second
	defaultElectionTimeout = 500 * time.Millisecond
	defaultDrainTimeout    = 20 * time.Second
	maxDrainTimeout        = 10 * time.Minute
	// maxPathBytes bounds the paths in a settings file, in bytes.
	maxPathBytes = 4096
)

// Load reads and validates the settings file of a process with the role. Its
// errors are those of reading the file and those of Read.
func Load(role Role, file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Read(role, file, text)
}

// Read parses and validates the text of a settings file; file is its name in
// errors. The error is a *pollenyaml.ReportError that lists every problem with
// its line; the settings are then incomplete or nil.
func Read(role Role, file string, text []byte) (*Settings, error) {
	report := &pollenyaml.Report{File: file}
	root := pollenyaml.Parse(report, text)
	if root == nil {
		return nil, report.Err()
	}
	s := &Settings{
		Role: role, LogLevel: LogInfo, LogFormat: LogText,
		ElectionTimeout: defaultElectionTimeout, DrainTimeout: defaultDrainTimeout,
		Placement: pollenflow.Placements.Names()[0], Ramp: pollenadmission.Ramps.Names()[0],
	}
	allowed := s.readCommon(root)
	switch role {
	case RoleControl:
		allowed = append(allowed, "data", "election")
		pollenyaml.Required(root, "data", &s.DataFolder, pollenyaml.Text(maxPathBytes))
		pollenyaml.Optional(root, "election", &s.ElectionTimeout, pollenyaml.Duration(minElectionTimeout, maxElectionTimeout))
		if !slices.Contains(s.ControlHosts, s.Address) {
			root.AddProblem("address", s.Address.String(), "one of the addresses of control")
		}
	case RoleBalancer:
		allowed = append(allowed, "bind", "drain")
		pollenyaml.Optional(root, "bind", &s.Bind, pollenyaml.Addr())
		pollenyaml.Optional(root, "drain", &s.DrainTimeout, pollenyaml.Duration(0, maxDrainTimeout))
	case RoleAgent:
		allowed = append(allowed, "announce", "placement", "ramp", "drain")
		pollenyaml.Required(root, "announce", &s.Announce, pollenyaml.AddrPort())
		pollenyaml.Optional(root, "placement", &s.Placement, pollenyaml.Enum(pollenflow.Placements.Names()...))
		pollenyaml.Optional(root, "ramp", &s.Ramp, pollenyaml.Enum(pollenadmission.Ramps.Names()...))
		pollenyaml.Optional(root, "drain", &s.DrainTimeout, pollenyaml.Duration(0, maxDrainTimeout))
	case RoleOperator:
	}
	root.ReportUnknown(allowed...)
	return s, report.Err()
}

// readCommon reads the fields about the control hosts, the keys, the log and
// the process itself. It returns the names of those that the role allows.
func (s *Settings) readCommon(root *pollenyaml.Mapping) (allowed []string) {
	allowed = []string{"control", "authority", "certificate", "key", "log-level", "log-format"}
	pollenyaml.ScalarList(root, "control", true, &s.ControlHosts, pollenyaml.AddrPort())
	s.checkControl(root)
	path := pollenyaml.Text(maxPathBytes)
	pollenyaml.Required(root, "authority", &s.Keys.Authority, path)
	pollenyaml.Required(root, "certificate", &s.Keys.Certificate, path)
	pollenyaml.Required(root, "key", &s.Keys.Key, path)
	pollenyaml.Required(root, "datagram-keys", &s.Keys.DatagramKeys, path)
	pollenyaml.Optional(root, "log-level", &s.LogLevel, pollenyaml.Enum(LogDebug, LogInfo, LogWarn, LogError))
	pollenyaml.Optional(root, "log-format", &s.LogFormat, pollenyaml.Enum(LogText, LogJSON))
	allowed = append(allowed, "datagram-keys")
	if s.Role == RoleOperator {
		return allowed
	}
	pollenyaml.Required(root, "name", &s.Name, pollenyaml.Name[pollendocument.ServerName]())
	pollenyaml.Required(root, "domain", &s.Domain, pollenyaml.Name[pollendocument.DomainName]())
	pollenyaml.Required(root, "address", &s.Address, pollenyaml.AddrPort())
	pollenyaml.Optional(root, "admin", &s.Admin, pollenyaml.AddrPort())
	if s.Admin.IsValid() && s.Admin == s.Address {
		root.AddProblem("admin", s.Admin.String(), "an address other than that of the field address")
	}
	allowed = append(allowed, "name", "domain", "address", "admin")
	if s.Role == RoleAgent {
		pollenyaml.Optional(root, "caller-certificate", &s.Keys.CallerCertificate, path)
		pollenyaml.Optional(root, "caller-key", &s.Keys.CallerKey, path)
		if (s.Keys.CallerCertificate == "") != (s.Keys.CallerKey == "") {
			root.AddProblem("caller-key", s.Keys.CallerKey, "caller-certificate and caller-key together or neither")
		}
		allowed = append(allowed, "caller-certificate", "caller-key")
	}
	return allowed
}

// checkControl reports duplicate addresses and a number of control hosts that
// is even or too large.
func (s *Settings) checkControl(root *pollenyaml.Mapping) {
	seen := map[netip.AddrPort]bool{}
	for _, a := range s.ControlHosts {
		if seen[a] {
			root.AddProblem("control", a.String(), "each address once")
		}
		seen[a] = true
	}
	if n := len(s.ControlHosts); n > MaxControlHosts || n%2 == 0 {
		addresses := make([]string, 0, n)
		for _, a := range s.ControlHosts {
			addresses = append(addresses, a.String())
		}
		root.AddProblem("control", strings.Join(addresses, ", "), "1, 3, 5 or 7 addresses")
	}
}
