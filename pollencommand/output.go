package pollencommand

import (
	"encoding/json"
	"io"

	"github.com/urfave/cli/v3"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputText, Usage: "output `FORMAT`: text or json"}
}

// output writes the value as JSON or calls text, depending on the --output flag.
func output(c *cli.Command, value any, text func(w io.Writer)) error {
	w := c.Root().Writer
	switch format := c.String("output"); format {
	case outputText:
		text(w)
		return nil
	case outputJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	default:
		return &exitError{code: ExitInput, text: "flag --output: value \"" + format + "\": allowed: text, json"}
	}
}

// The types below define the JSON output of the commands.

type versionView struct {
	Version string `json:"version"`
}

type submitView struct {
	Verdict     string        `json:"verdict"`
	ID          string        `json:"id"`
	Reason      string        `json:"reason,omitempty"`
	Revision    uint64        `json:"revision,omitempty"`
	Sections    []sectionView `json:"sections,omitempty"`
	InForce     bool          `json:"in_force"`
	SlowMembers []string      `json:"stragglers,omitempty"`
}

type sectionView struct {
	Team      string   `json:"team"`
	Version   uint64   `json:"version"`
	Hash      string   `json:"hash,omitempty"`
	Submitter string   `json:"by,omitempty"`
	Fields    []string `json:"fields,omitempty"`
}

type statusView struct {
	Revision   uint64        `json:"revision"`
	Term       uint64        `json:"term"`
	Leader     string        `json:"leader"`
	HeldLeases int           `json:"held_leases"`
	Control    []replicaView `json:"control"`
	Domains    []domainView  `json:"domains"`
	Members    []memberView  `json:"members"`
	Services   []serviceView `json:"services"`
}

// replicaView describes a control host. Lag is the number of log entries by which
// it is behind the leader.
type replicaView struct {
	Address string `json:"address"`
	ID      string `json:"id"`
	State   string `json:"state"`
	Lag     uint64 `json:"lag"`
}

type domainView struct {
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// memberView describes a balancer or an agent. Lag is the number of revisions by
// which it is behind the current one.
type memberView struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Service  string `json:"service,omitempty"`
	Domain   string `json:"domain"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Cold     bool   `json:"cold"`
	Revision uint64 `json:"revision"`
	Lag      uint64 `json:"lag"`
}

// serviceView describes a service. TakingNewWork is the number of its agents that
// accept new work.
type serviceView struct {
	Service        string   `json:"service"`
	Address        string   `json:"address"`
	Team           string   `json:"team"`
	TakingNewWork  int      `json:"taking_new_work"`
	Agents         int      `json:"agents"`
	LedgerReplicas []string `json:"ledger"`
}

// diffView describes how a section of a document differs from the one in force.
// BaseVersion is the version from which the section was edited.
type diffView struct {
	Team           string   `json:"team"`
	BaseVersion    uint64   `json:"base"`
	CurrentVersion uint64   `json:"now"`
	Fields         []string `json:"fields"`
}

// checkView describes the result of a check.
type checkView struct {
	File     string        `json:"file"`
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Findings []findingView `json:"findings"`
	// Changes is null if nothing was compared, and empty if nothing differs.
	Changes []changeView `json:"changes"`
}

// findingView describes a finding. Line is missing if it is not known.
type findingView struct {
	Rule     string `json:"rule"`
	Severity string `json:"severity"`
	File     string `json:"file"`
	Line     int    `json:"line,omitempty"`
	Section  string `json:"section,omitempty"`
	Entry    string `json:"entry,omitempty"`
	Text     string `json:"text"`
	Expected string `json:"expected,omitempty"`
}

// changeView describes an entry that differs.
type changeView struct {
	Section string            `json:"section"`
	Entry   string            `json:"entry"`
	Kind    string            `json:"kind"`
	Fields  []fieldChangeView `json:"fields"`
	Effect  string            `json:"effect"`
}

type fieldChangeView struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}
