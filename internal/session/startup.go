package session

import (
	"sort"
	"strings"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// startup is what a start-up message asks for.
type startup struct {
	user         string
	customer     topology.CustomerID
	database     string
	settings     []assignment // in a fixed order
	unknownParts []string     // protocol options that aren't known
}

// assignment gives one setting its value. The name is in lower case.
type assignment struct{ name, value string }

const protocolOptionPrefix = "_pq_."

// parseStartup reads the parameters of a start-up message.
func parseStartup(parameters map[string]string) (startup, error) {
	var s startup
	for _, name := range sortedKeys(parameters) {
		if err := s.take(strings.ToLower(name), parameters[name]); err != nil {
			return s, err
		}
	}
	if s.user == "" {
		return s, result.New(result.BadStartup, "no user name")
	}
	return s, nil
}

func (s *startup) take(name, value string) error {
	switch {
	case name == "user":
		s.user = value
	case name == "database":
		return s.takeDatabase(value)
	case name == "options":
		return s.takeOptions(value)
	case name == "replication":
		if value != "" && value != "false" && value != "off" && value != "no" && value != "0" {
			return result.New(result.UnsupportedFeature, "replication connections")
		}
	case strings.HasPrefix(name, protocolOptionPrefix):
		s.unknownParts = append(s.unknownParts, name)
	default:
		s.settings = append(s.settings, assignment{name, value})
	}
	return nil
}

// takeDatabase reads CUSTOMER.DATABASE.
func (s *startup) takeDatabase(value string) error {
	customer, database, ok := strings.Cut(value, ".")
	if !ok || customer == "" || database == "" {
		return result.New(result.UnknownCustomer, "database %q: want CUSTOMER.DATABASE", clip(value))
	}
	s.customer, s.database = topology.CustomerID(customer), database
	return nil
}

// takeOptions reads the options parameter: -c name=value and --name=value.
func (s *startup) takeOptions(value string) error {
	words := splitOptions(value)
	for i := 0; i < len(words); i++ {
		text := words[i]
		switch {
		case text == "-c" && i+1 < len(words):
			i++
			text = words[i]
		case strings.HasPrefix(text, "-c"):
			text = text[2:]
		case strings.HasPrefix(text, "--"):
			text = text[2:]
		default:
			return result.New(result.BadStartup, "options %q: want -c name=value", clip(text))
		}
		name, setting, ok := strings.Cut(text, "=")
		if !ok || name == "" {
			return result.New(result.BadStartup, "options %q: want name=value", clip(text))
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		s.settings = append(s.settings, assignment{name, setting})
	}
	return nil
}

// splitOptions cuts at white space; a backslash takes the next byte as it is.
func splitOptions(text string) []string {
	var words []string
	var current strings.Builder
	inWord := false
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case c == '\\' && i+1 < len(text):
			i++
			current.WriteByte(text[i])
			inWord = true
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			if inWord {
				words = append(words, current.String())
				current.Reset()
			}
			inWord = false
		default:
			current.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, current.String())
	}
	return words
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
