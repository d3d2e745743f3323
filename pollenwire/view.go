package pollenwire

import (
	"cmp"
	"maps"
	"slices"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenview"
)

// MapView encodes or decodes a whole view. Maps are encoded in order of their
// keys, so that equal views have equal encodings.
func MapView(c *Codec, v *pollenview.View) {
	unsigned(c, &v.Revision)
	list(c, &v.Document.Sections, MapSection)
	mapMembers(c, v)
	mapLedgers(c, v)
	list(c, &v.Outcomes, MapOutcome)
	MapDeclaration(c, &v.Declared)
	list(c, &v.Evacuated, text[pollendocument.DomainName])
	unsigned(c, &v.EvacuatedAt)
}

func mapMembers(c *Codec, v *pollenview.View) {
	members := slices.SortedFunc(maps.Values(v.Members), func(a, b pollenview.Member) int {
		return cmp.Compare(a.Name, b.Name)
	})
	list(c, &members, MapMember)
	if !c.decoding() {
		return
	}
	v.Members = make(map[pollendocument.ServerName]pollenview.Member, len(members))
	for _, m := range members {
		v.Members[m.Name] = m
	}
}

// A ledger is the encoded form of one item of pollenview.View.Ledgers.
type ledger struct {
	service pollendocument.ServiceName
	group   pollenview.LedgerGroup
}

func mapLedgers(c *Codec, v *pollenview.View) {
	var ledgers []ledger
	for _, name := range slices.Sorted(maps.Keys(v.Ledgers)) {
		ledgers = append(ledgers, ledger{service: name, group: v.Ledgers[name]})
	}
	list(c, &ledgers, func(c *Codec, l *ledger) {
		text(c, &l.service)
		unsigned(c, &l.group.Epoch)
		list(c, &l.group.Replicas, MapMemberRef)
		list(c, &l.group.Previous, MapMemberRef)
	})
	if !c.decoding() {
		return
	}
	v.Ledgers = make(map[pollendocument.ServiceName]pollenview.LedgerGroup, len(ledgers))
	for _, l := range ledgers {
		v.Ledgers[l.service] = l.group
	}
}

// MapMember encodes or decodes one member.
func MapMember(c *Codec, m *pollenview.Member) {
	text(c, &m.Name)
	text(c, &m.Role)
	unsigned(c, &m.Incarnation)
	text(c, &m.Service)
	text(c, &m.Domain)
	address(c, &m.Address)
	text(c, &m.State)
}

// MapMemberRef encodes or decodes a reference to one incarnation of a member.
func MapMemberRef(c *Codec, r *pollenview.MemberRef) {
	text(c, &r.Name)
	unsigned(c, &r.Incarnation)
}

// MapSection encodes or decodes one team's section of the document.
func MapSection(c *Codec, s *pollendocument.Section) {
	text(c, &s.Team)
	unsigned(c, &s.Version)
	list(c, &s.Domains, func(c *Codec, d *pollendocument.Domain) {
		text(c, &d.Name)
		text(c, &d.State)
	})
	list(c, &s.Services, mapService)
	list(c, &s.Servers, func(c *Codec, b *pollendocument.Server) {
		text(c, &b.Name)
		text(c, &b.State)
		signed(c, &b.Weight)
	})
}

func mapService(c *Codec, s *pollendocument.Service) {
	text(c, &s.Name)
	address(c, &s.Address)
	text(c, &s.Delivery)
	signed(c, &s.Slots)
	signed(c, &s.ConnectionLimit)
	signed(c, &s.ColdLimit)
	duration(c, &s.WarmUp)
	signed(c, &s.QueueLimit)
	duration(c, &s.RequestTimeout)
	duration(c, &s.Retention)
	duration(c, &s.IdleTimeout)
}

// MapCommand encodes or decodes one command of the replicated log.
func MapCommand(c *Codec, m *pollenview.Command) {
	text(c, &m.Kind)
	MapSubmission(c, &m.Submission)
	list(c, &m.Joins, MapMember)
	list(c, &m.Leaves, MapMemberRef)
	list(c, &m.Ledgers, func(c *Codec, l *pollenview.LedgerChange) {
		text(c, &l.Service)
		unsigned(c, &l.Epoch)
		list(c, &l.Replicas, MapMemberRef)
	})
	optional(c, &m.Declaration, MapDeclaration)
	MapEvacuation(c, &m.Evacuation)
}

// MapDeclaration encodes or decodes a whole declaration with its source text.
func MapDeclaration(c *Codec, d *pollendocument.Declaration) {
	unsigned(c, &d.Version)
	list(c, &d.Routes, mapRoute)
	list(c, &d.Pools, func(c *Codec, p *pollendocument.Pool) {
		text(c, &p.Name)
		signed(c, &p.ConnectionLimit)
		float(c, &p.ColdRate)
		duration(c, &p.ColdDuration)
	})
	duration(c, &d.IdleTimeout)
	blob(c, &d.Source)
}

func mapRoute(c *Codec, r *pollendocument.Route) {
	text(c, &r.Name)
	address(c, &r.Address)
	list(c, &r.Shares, func(c *Codec, s *pollendocument.Share) {
		text(c, &s.Service)
		signed(c, &s.Weight)
	})
	text(c, &r.Kind)
	duration(c, &r.Timeout)
	duration(c, &r.Objective)
	signed(c, &r.Priority)
}

// MapEvacuation encodes or decodes a request to evacuate a failure domain or to
// end its evacuation.
func MapEvacuation(c *Codec, e *pollenview.Evacuation) {
	text(c, &e.Domain)
	boolean(c, &e.Evacuated)
	unsigned(c, &e.Known)
}

// MapSubmission encodes or decodes the section changes that an operator
// submits.
func MapSubmission(c *Codec, s *pollenview.Submission) {
	text(c, &s.ID)
	text(c, &s.Submitter)
	list(c, &s.Changes, func(c *Codec, d *pollenview.SectionChange) {
		text(c, &d.Team)
		unsigned(c, &d.BaseVersion)
		MapSection(c, &d.Upserts)
		list(c, &d.Removals, text[string])
	})
}

// MapOutcome encodes or decodes the outcome of a submission.
func MapOutcome(c *Codec, o *pollenview.Outcome) {
	text(c, &o.ID)
	text(c, &o.Submitter)
	text(c, &o.State)
	unsigned(c, &o.Revision)
	list(c, &o.Sections, func(c *Codec, v *pollenview.SectionVersion) {
		text(c, &v.Team)
		unsigned(c, &v.Version)
		text(c, &v.Hash)
		text(c, &v.Submitter)
		list(c, &v.Fields, text[string])
	})
	text(c, &o.ValidationErrors)
}

// A ControlCodec implements pollencontrol.Codec.
type ControlCodec struct{}

// EncodeCommand implements pollencontrol.Codec.
func (ControlCodec) EncodeCommand(m *pollenview.Command) []byte { return Marshal(m, MapCommand) }

// DecodeCommand implements pollencontrol.Codec.
func (ControlCodec) DecodeCommand(data []byte) (pollenview.Command, error) {
	var m pollenview.Command
	err := Unmarshal(data, &m, MapCommand)
	return m, err
}

// EncodeView implements pollencontrol.Codec.
func (ControlCodec) EncodeView(v *pollenview.View) []byte { return Marshal(v, MapView) }

// DecodeView implements pollencontrol.Codec.
func (ControlCodec) DecodeView(data []byte) (*pollenview.View, error) {
	v := pollenview.NewView()
	err := Unmarshal(data, v, MapView)
	return v, err
}

// UpdateSize implements pollencontrol.Codec.
func (ControlCodec) UpdateSize(u *pollenview.Update) int { return len(Marshal(u, MapUpdate)) }
