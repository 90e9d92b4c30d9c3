package customer

import (
	"encoding/json"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// interpret puts one changed object in force. An object with faults leaves the
// last good version in force. The caller holds s.mu.
func (s *Store) interpret(kind string, update Update) {
	item := update.Item
	gone := item.Removed || platform.IsDeleted(item.Value)
	var err error
	switch kind {
	case platform.KindTemplate:
		err = s.interpretTemplate(item, gone)
	case platform.KindCustomer:
		err = s.interpretCustomer(update, gone)
	case platform.KindGroup:
		err = s.interpretGroup(item, gone)
	case platform.KindHost:
		err = s.interpretHost(item, gone)
	}
	if err != nil {
		s.badObjects.Inc()
		s.log.Error(err, "an object with faults is not put in force", "kind", kind, "name", item.Name, "version", item.Version)
	}
}

func (s *Store) interpretTemplate(item Item, gone bool) error {
	if gone {
		delete(s.templates, item.Name)
		return nil
	}
	body, _, err := platform.SplitEdits(item.Value)
	if err != nil {
		return err
	}
	template, err := ParseTemplate(body)
	if err != nil {
		return err
	}
	s.templates[item.Name] = Versioned[*Template]{Version: item.Version, Value: template}
	return nil
}

// interpretCustomer checks a customer; it is resolved when it is asked for.
func (s *Store) interpretCustomer(update Update, gone bool) error {
	var spec *Spec
	if !gone {
		var err error
		if spec, err = parseSpecItem(update.Item); err != nil {
			s.keepLastGood(update.Previous)
			return err
		}
	}
	s.choices.set(update.Name, spec)
	delete(s.lastGood, update.Name)
	delete(s.resolved, topology.CustomerID(update.Name))
	return nil
}

// keepLastGood keeps a customer in force whose new version has faults.
func (s *Store) keepLastGood(previous Item) {
	_, kept := s.lastGood[previous.Name]
	if !kept && previous.Version > 0 && !previous.Removed {
		s.lastGood[previous.Name] = previous
	}
}

func parseSpecItem(item Item) (*Spec, error) {
	body, _, err := platform.SplitEdits(item.Value)
	if err != nil {
		return nil, err
	}
	return ParseSpec(body)
}

func (s *Store) interpretGroup(item Item, gone bool) error {
	id := topology.GroupID(item.Name)
	if gone {
		delete(s.groups, id)
		s.groupList = nil
		return nil
	}
	group, err := ParseGroup(item.Name, item.Value)
	if err != nil {
		return err
	}
	s.groups[id] = group
	s.groupList = nil
	return nil
}

func (s *Store) interpretHost(item Item, gone bool) error {
	if gone {
		delete(s.hosts, item.Name)
		return nil
	}
	var host topology.Host
	if err := json.Unmarshal(item.Value, &host); err != nil {
		return err
	}
	s.hosts[item.Name] = host
	return nil
}
