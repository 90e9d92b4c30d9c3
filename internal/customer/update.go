package customer

import (
	"encoding/json"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// applyUpdate makes one changed object the active version. If the object is
// invalid, the last valid version stays active. The caller holds s.mu.
func (s *Store) applyUpdate(kind string, update Update) {
	item := update.Item
	deleted := item.Removed || platform.IsDeleted(item.Value)
	var err error
	switch kind {
	case platform.KindTemplate:
		err = s.applyTemplate(item, deleted)
	case platform.KindCustomer:
		err = s.applyCustomer(update, deleted)
	case platform.KindGroup:
		err = s.applyGroup(item, deleted)
	case platform.KindHost:
		err = s.applyHost(item, deleted)
	}
	if err != nil {
		s.invalidObjects.Inc()
		s.log.Error(err, "invalid object rejected, last valid version stays active", "kind", kind, "name", item.Name, "version", item.Version)
	}
}

func (s *Store) applyTemplate(item Item, deleted bool) error {
	if deleted {
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

// applyCustomer validates a customer. The effective configuration is resolved
// on the first request for the customer.
func (s *Store) applyCustomer(update Update, deleted bool) error {
	var spec *Spec
	if !deleted {
		var err error
		if spec, err = parseSpecItem(update.Item); err != nil {
			s.keepLastGood(update.Previous)
			return err
		}
	}
	s.ackPolicies.set(update.Name, spec)
	delete(s.lastGood, update.Name)
	delete(s.resolved, topology.CustomerID(update.Name))
	return nil
}

// keepLastGood keeps the previous version of a customer active after an
// invalid update, unless an earlier valid version is already kept.
func (s *Store) keepLastGood(previous Item) {
	_, exists := s.lastGood[previous.Name]
	if !exists && previous.Version > 0 && !previous.Removed {
		s.lastGood[previous.Name] = previous
	}
}

// parseSpecItem parses the customer object in the item, without the recorded
// edits.
func parseSpecItem(item Item) (*Spec, error) {
	body, _, err := platform.SplitEdits(item.Value)
	if err != nil {
		return nil, err
	}
	return ParseSpec(body)
}

func (s *Store) applyGroup(item Item, deleted bool) error {
	id := topology.GroupID(item.Name)
	if deleted {
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

func (s *Store) applyHost(item Item, deleted bool) error {
	if deleted {
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
