package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Sections whose keys are chosen by the author of the file.
const (
	operatorsSection = "operators"
	addressesSection = "addresses"
)

// Load reads and validates a settings file. The error is a *Faults that lists every
// invalid line, or describes why the file can't be read.
func Load(path string) (*Settings, error) { return load(path) }

// Parse parses and validates the content of a settings file. It returns the same
// errors as Load.
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
	r := reader{file: file, out: &Settings{AddressMap: map[string]string{}}}
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

// reader collects the settings and faults of one file.
type reader struct {
	file   *ini.File
	out    *Settings
	faults []Fault
}

func (r *reader) addFault(section, name, value, allowed, reason string) {
	r.faults = append(r.faults, Fault{Section: section, Key: name, Value: value, Allowed: allowed, Reason: reason})
}

// readKeys reads every setting listed in keys.
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

// value returns a key's value and whether the key is in the file. It reports a key
// that occurs more than once as a fault.
func (r *reader) value(section, name string) (string, bool) {
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(name) {
		return "", false
	}
	values := s.Key(name).ValueWithShadows()
	if len(values) > 1 {
		r.addFault(section, name, strings.Join(values, " | "), "one line", "occurs more than once")
	}
	return s.Key(name).Value(), true
}

// checkUnknownKeys reports a fault for each section or key that isn't listed in
// keys.
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

// readOperators reads lines of the form NAME = TOKEN [CUSTOMER, ...].
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

// readAddresses reads lines of the form PUBLISHED = DIALED.
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
		r.out.AddressMap[k.Name()] = dialed
	}
}

// applyAdvertiseDefaults sets each empty advertised address to the address of the
// listener.
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
