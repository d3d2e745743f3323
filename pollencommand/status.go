package pollencommand

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkey"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print hosts, revisions, leases, failure domains and the leader",
		Description: "Example: pollenstep status --settings operator.yaml",
		Flags:       []cli.Flag{settingsFlag(), outputFlag(), waitFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := fetchState(ctx, c)
			if err != nil {
				return err
			}
			view := newStatusView(s)
			return output(c, view, func(w io.Writer) { writeStatus(w, view) })
		},
	}
}

func newStatusView(s *pollencontrol.State) statusView {
	v := statusView{Revision: uint64(s.View.Revision), Term: uint64(s.Log.Term), HeldLeases: s.HeldLeases}
	for _, r := range s.Log.Membership.Replicas {
		v.Control = append(v.Control, newReplicaView(s.Log, r))
		if r.ID == s.Log.Leader {
			v.Leader = r.Address.String()
		}
	}
	if section := s.View.Document.Section(pollendocument.DomainsTeam); section != nil {
		for _, d := range section.Domains {
			v.Domains = append(v.Domains, domainView{Domain: string(d.Name), State: string(d.State)})
		}
	}
	for _, m := range s.Members {
		v.Members = append(v.Members, newMemberView(s.View, m))
	}
	for i := range s.View.Document.Sections {
		section := &s.View.Document.Sections[i]
		for _, service := range section.Services {
			v.Services = append(v.Services, newServiceView(s.View, section.Team, service))
		}
	}
	return v
}

func newReplicaView(log pollenlog.Status, r pollenlog.Replica) replicaView {
	v := replicaView{Address: r.Address.String(), ID: fmt.Sprintf("%016x", uint64(r.ID)), State: "voter"}
	if !r.Voter {
		v.State = "learner"
	}
	if r.ID == log.Leader {
		v.State = "leader"
		return v
	}
	v.Lag = uint64(log.Last - log.Match[r.ID])
	return v
}

func newMemberView(view *pollenview.View, m pollencontrol.MemberState) memberView {
	v := memberView{
		Name: string(m.Member.Name), Role: string(m.Member.Role), Service: string(m.Member.Service),
		Domain: string(m.Member.Domain), Address: m.Member.Address.String(), Revision: uint64(m.Revision), Cold: m.Cold,
	}
	if m.Revision < view.Revision {
		v.Lag = uint64(view.Revision - m.Revision)
	}
	switch {
	case m.Silent:
		v.State = "silent"
	case !view.DomainTakesTraffic(m.Member.Domain):
		v.State = "out"
	case m.Member.Role == pollenview.RoleAgent && m.Member.Service == "":
		v.State = "waiting"
	case m.Member.Role == pollenview.RoleAgent && !view.TakesNewWork(m.Member):
		v.State = "draining"
	default:
		v.State = "active"
	}
	return v
}

func newServiceView(view *pollenview.View, team pollendocument.Team, service pollendocument.Service) serviceView {
	v := serviceView{Service: string(service.Name), Address: service.Address.String(), Team: string(team)}
	for _, m := range view.Agents(service.Name) {
		v.Agents++
		if view.TakesNewWork(m) {
			v.TakingNewWork++
		}
	}
	for _, r := range view.Ledgers[service.Name].Replicas {
		v.LedgerReplicas = append(v.LedgerReplicas, string(r.Name))
	}
	return v
}

func writeStatus(w io.Writer, v statusView) {
	_, _ = fmt.Fprintf(w, "revision %d  term %d  leader %s  held leases %d\n\n", v.Revision, v.Term, v.Leader, v.HeldLeases)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "CONTROL\tID\tSTATE\tLAG")
	for _, r := range v.Control {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", r.Address, r.ID, r.State, r.Lag)
	}
	_, _ = fmt.Fprintln(t, "\nDOMAIN\tSTATE")
	for _, d := range v.Domains {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", d.Domain, d.State)
	}
	_, _ = fmt.Fprintln(t, "\nSERVICE\tADDRESS\tTEAM\tTAKING\tAGENTS\tLEDGER")
	for _, s := range v.Services {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", s.Service, s.Address, s.Team, s.TakingNewWork, s.Agents, strings.Join(s.LedgerReplicas, " "))
	}
	_, _ = fmt.Fprintln(t, "\nMEMBER\tROLE\tSERVICE\tDOMAIN\tSTATE\tREVISION\tLAG")
	for _, m := range v.Members {
		state := m.State
		if m.Cold {
			state += " (cold)"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", m.Name, m.Role, m.Service, m.Domain, state, m.Revision, m.Lag)
	}
	_ = t.Flush()
}

func repairCommand() *cli.Command {
	return &cli.Command{
		Name: "repair", Usage: "replace a control host that lost its disk", ArgsUsage: "ADDRESS",
		Description: "Start the host with an empty data folder first.\n" +
			"Example: pollenstep repair --settings operator.yaml 10.0.0.3:7000\n" +
			"It reports done only once the system tolerates the loss of another control host.",
		Flags: []cli.Flag{settingsFlag(), waitFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			address, err := netip.ParseAddrPort(c.Args().First())
			if err != nil {
				return inputError(errors.Wrapf(err, "address of the control host %q", c.Args().First()))
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
			defer cancel()
			answer, err := client.Repair(ctx, address)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintln(c.Root().Writer, strings.TrimSpace(string(answer.Verdict)+" "+answer.Reason))
			return verdictError(answer.Verdict)
		},
	}
}

func keysCommand() *cli.Command {
	const year = 365 * 24 * time.Hour
	return &cli.Command{
		Name: "keys", Usage: "generate an authority, certificates and a datagram key", ArgsUsage: "FOLDER",
		Description: "Example: pollenstep keys --name rings.example --ip 192.0.2.1 /etc/pollenstep/keys",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "name", Usage: "host `NAME` in the certificate presented to callers"},
			&cli.StringSliceFlag{Name: "ip", Usage: "`ADDRESS` in the certificate presented to callers"},
			&cli.DurationFlag{Name: "life", Usage: "`TIME` for which the certificates are valid", Value: year},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			folder := c.Args().First()
			if folder == "" {
				return inputError(errors.New("the folder for the keys is needed"))
			}
			var addresses []netip.Addr
			for _, text := range c.StringSlice("ip") {
				a, err := netip.ParseAddr(text)
				if err != nil {
					return inputError(err)
				}
				addresses = append(addresses, a)
			}
			err := pollenkey.Generate(time.Now(), folder, c.Duration("life"), c.StringSlice("name"), addresses)
			if os.IsExist(errors.Cause(err)) {
				return inputError(err)
			}
			return err
		},
	}
}
