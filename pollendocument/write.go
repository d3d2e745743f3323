package pollendocument

import (
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// Write returns the document as YAML text that Read accepts.
func Write(d *Document) ([]byte, error) {
	root := mapping("format", strconv.Itoa(FormatVersion))
	teams := &yaml.Node{Kind: yaml.SequenceNode}
	for i := range d.Sections {
		s := &d.Sections[i]
		if s.Team == DomainsTeam {
			addScalars(root, "version", strconv.FormatUint(s.Version, 10))
			addNode(root, "domains", list(s.Domains, func(v Domain) *yaml.Node {
				return mapping("domain", string(v.Name), "state", string(v.State))
			}))
			continue
		}
		teams.Content = append(teams.Content, teamNode(s))
	}
	addNode(root, "teams", teams)
	return yaml.Marshal(root)
}

func teamNode(s *Section) *yaml.Node {
	node := mapping("team", string(s.Team), "version", strconv.FormatUint(s.Version, 10))
	addNode(node, "services", list(s.Services, serviceNode))
	if len(s.Servers) > 0 {
		addNode(node, "servers", list(s.Servers, func(v Server) *yaml.Node {
			return mapping("server", string(v.Name), "state", string(v.State), "weight", strconv.Itoa(v.Weight))
		}))
	}
	return node
}

func serviceNode(v Service) *yaml.Node {
	return mapping(
		"service", string(v.Name),
		"address", v.Address.String(),
		"delivery", string(v.Delivery),
		"slots", strconv.Itoa(v.Slots),
		"connections", strconv.Itoa(v.ConnectionLimit),
		"cold", strconv.Itoa(v.ColdLimit),
		"warm-up", formatDuration(v.WarmUp),
		"queue", strconv.Itoa(v.QueueLimit),
		"deadline", formatDuration(v.RequestTimeout),
		"retention", formatDuration(v.Retention),
		"idle", formatDuration(v.IdleTimeout),
	)
}

func formatDuration(d time.Duration) string { return d.String() }

func list[T any](values []T, convert func(T) *yaml.Node) *yaml.Node {
	node := &yaml.Node{Kind: yaml.SequenceNode}
	for _, v := range values {
		node.Content = append(node.Content, convert(v))
	}
	return node
}

func mapping(pairs ...string) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	addScalars(node, pairs...)
	return node
}

func addScalars(node *yaml.Node, pairs ...string) {
	for i := 0; i+1 < len(pairs); i += 2 {
		addNode(node, pairs[i], &yaml.Node{Kind: yaml.ScalarNode, Value: pairs[i+1]})
	}
}

func addNode(node *yaml.Node, name string, value *yaml.Node) {
	node.Content = append(node.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name}, value)
}
