package session

import (
	"sort"
	"strings"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// startupParams holds the parsed parameters of a startup message.
type startupParams struct {
	user                string
	customer            topology.CustomerID
	database            string
	settings            []parameter // sorted by parameter name
	unrecognizedOptions []string    // unsupported protocol options (_pq_.*)
}

// parameter is a run-time parameter and its value. Names that are received from
// clients are in lower case.
type parameter struct{ name, value string }

const protocolOptionPrefix = "_pq_."

// parseStartup parses the parameters of a startup message.
func parseStartup(parameters map[string]string) (startupParams, error) {
	var params startupParams
	for _, name := range sortedKeys(parameters) {
		if err := params.addParameter(strings.ToLower(name), parameters[name]); err != nil {
			return params, err
		}
	}
	if params.user == "" {
		return params, result.New(result.BadStartup, "missing user name")
	}
	return params, nil
}

func (params *startupParams) addParameter(name, value string) error {
	switch {
	case name == "user":
		params.user = value
	case name == "database":
		return params.parseDatabase(value)
	case name == "options":
		return params.parseOptions(value)
	case name == "replication":
		if value != "" && value != "false" && value != "off" && value != "no" && value != "0" {
			return result.New(result.UnsupportedFeature, "replication connections are not supported")
		}
	case strings.HasPrefix(name, protocolOptionPrefix):
		params.unrecognizedOptions = append(params.unrecognizedOptions, name)
	default:
		params.settings = append(params.settings, parameter{name, value})
	}
	return nil
}

// parseDatabase parses the database parameter, CUSTOMER.DATABASE.
func (params *startupParams) parseDatabase(value string) error {
	customer, database, ok := strings.Cut(value, ".")
	if !ok || customer == "" || database == "" {
		return result.New(result.UnknownCustomer, "database %q: expected CUSTOMER.DATABASE", truncate(value))
	}
	params.customer, params.database = topology.CustomerID(customer), database
	return nil
}

// parseOptions parses the options parameter: -c name=value and --name=value.
func (params *startupParams) parseOptions(value string) error {
	words := splitOptions(value)
	for i := 0; i < len(words); i++ {
		option := words[i]
		switch {
		case option == "-c" && i+1 < len(words):
			i++
			option = words[i]
		case strings.HasPrefix(option, "-c"):
			option = option[2:]
		case strings.HasPrefix(option, "--"):
			option = option[2:]
		default:
			return result.New(result.BadStartup, "options %q: expected -c name=value", truncate(option))
		}
		name, optionValue, ok := strings.Cut(option, "=")
		if !ok || name == "" {
			return result.New(result.BadStartup, "options %q: expected name=value", truncate(option))
		}
		name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
		params.settings = append(params.settings, parameter{name, optionValue})
	}
	return nil
}

// splitOptions splits text at white space. A backslash escapes the next byte.
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
