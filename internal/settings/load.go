package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Sections whose keys the file's author names.
const (
	operatorsSection = "operators"
	addressesSection = "addresses"
)

// Load reads a file. Its error is a *Faults that lists every bad line, or the
// reason why the file can't be read.
func Load(path string) (*Settings, error) { return load(path) }

// Parse reads a file's content. Its error is as Load's.
func Parse(content []byte) (*Settings, error) { return load(content) }

func load(source any) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		SpaceBeforeInlineComment:   true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		KeyValueDelimiters:         "=",
	}, source)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := reader{file: file, out: &Settings{Addresses: map[string]string{}}}
	r.readKeys()
	r.checkUnknownKeys()
	r.readOperators()
	r.readAddresses()
	if len(r.faults) > 0 {
		return nil, &Faults{List: r.faults}
	}
	r.out.applyAdvertiseDefaults()
	return r.out, nil
}

// reader collects settings and faults from one file.
type reader struct {
	file   *ini.File
	out    *Settings
	faults []Fault
}

func (r *reader) addFault(section, name, value, allowed, reason string) {
	r.faults = append(r.faults, Fault{Section: section, Key: name, Value: value, Allowed: allowed, Reason: reason})
}

// fixed reads the keys of the table.
func (r *reader) readKeys() {
	for _, k := range keys {
		value, found := r.value(k.section, k.name)
		if !found {
			value = k.defaultValue
		}
		if k.required && value == "" {
			r.addFault(k.section, k.name, "", k.allowed, "missing")
			continue
		}
		if err := k.set(r.out, value); err != nil {
			r.addFault(k.section, k.name, k.redacted(value), k.allowed, err.Error())
		}
	}
}

// value returns a key's value; a key that stands twice is a fault.
func (r *reader) value(section, name string) (string, bool) {
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(name) {
		return "", false
	}
	values := s.Key(name).ValueWithShadows()
	if len(values) > 1 {
		r.addFault(section, name, strings.Join(values, " | "), "one line", "stands more than once")
	}
	return s.Key(name).Value(), true
}

// unknown finds the sections and keys that the table lacks.
func (r *reader) checkUnknownKeys() {
	for _, s := range r.file.Sections() {
		if s.Name() == operatorsSection || s.Name() == addressesSection {
			continue
		}
		if !isKnownSection(s.Name()) && len(s.Keys()) > 0 {
			r.addFault(s.Name(), "", "", strings.Join(sectionNames(), ", "), "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.ContainsFunc(keys, func(known key) bool { return known.section == s.Name() && known.name == k.Name() }) {
				r.addFault(s.Name(), k.Name(), k.Value(), "the keys of docs/SETTINGS.md", "unknown key")
			}
		}
	}
}

// operators reads lines NAME = TOKEN [CUSTOMER, ...].
func (r *reader) readOperators() {
	s, err := r.file.GetSection(operatorsSection)
	if err != nil {
		return
	}
	for _, k := range s.Keys() {
		value, _ := r.value(operatorsSection, k.Name())
		fields := strings.FieldsFunc(value, func(c rune) bool { return c == ',' || c == ' ' })
		if len(fields) == 0 || len(fields[0]) < minKeyBytes {
			r.addFault(operatorsSection, k.Name(), "(hidden)", "TOKEN of 16 bytes or more [CUSTOMER, ...]", "token too short")
			continue
		}
		operator := Operator{Name: k.Name(), Token: fields[0]}
		for _, customer := range fields[1:] {
			operator.Customers = append(operator.Customers, topology.CustomerID(customer))
		}
		r.out.Operators = append(r.out.Operators, operator)
	}
}

// addresses reads lines PUBLISHED = DIALED.
func (r *reader) readAddresses() {
	s, err := r.file.GetSection(addressesSection)
	if err != nil {
		return
	}
	for _, k := range s.Keys() {
		dialed, _ := r.value(addressesSection, k.Name())
		if err := checkAddress(k.Name()); err != nil {
			r.addFault(addressesSection, k.Name(), dialed, "IP:PORT = IP:PORT", err.Error())
			continue
		}
		if err := checkAddress(dialed); err != nil {
			r.addFault(addressesSection, k.Name(), dialed, "IP:PORT = IP:PORT", err.Error())
			continue
		}
		r.out.Addresses[k.Name()] = dialed
	}
}

// fillAdvertised lets an empty advertised address be the listener's.
func (s *Settings) applyAdvertiseDefaults() {
	setDefault := func(advertise *string, listen string) {
		if *advertise == "" {
			*advertise = listen
		}
	}
	setDefault(&s.Host.CallerAdvertise, s.Host.CallerListen)
	setDefault(&s.Host.PeerAdvertise, s.Host.PeerListen)
	setDefault(&s.Host.AdminAdvertise, s.Host.AdminListen)
}

func sectionNames() []string {
	names := []string{operatorsSection, addressesSection}
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	slices.Sort(names)
	return names
}

func isKnownSection(name string) bool { return slices.Contains(sectionNames(), name) }
