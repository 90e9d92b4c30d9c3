package admin

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	hostStatusTimeout      = 1 * time.Second // per call to a host
	maxParallelStatusCalls = 64              // concurrent calls to hosts
)

// Status is this host's view of the system.
type Status struct {
	Host   topology.Host   `json:"host"`
	Health Health          `json:"health"`
	Hosts  []topology.Host `json:"hosts,omitempty"`
	Groups []GroupStatus   `json:"groups"`
	Slots  any             `json:"slots,omitempty"`
	Config any             `json:"config"`
}

// ObjectStatus reports which hosts have the newest version of an object in force.
type ObjectStatus struct {
	Kind    string       `json:"kind"`
	Name    string       `json:"name"`
	Newest  uint64       `json:"newest"`  // newest version known to any host
	Whole   bool         `json:"whole"`   // every host has the newest version in force
	Missing int          `json:"missing"` // number of hosts that don't have it in force or didn't answer
	Hosts   []HostStatus `json:"hosts"`
}

// HostStatus is one host's part of ObjectStatus.
type HostStatus struct {
	Host    topology.HostID `json:"host"`
	Domain  topology.Domain `json:"domain"`
	Version uint64          `json:"version"`
	InForce uint64          `json:"in_force"`
	Age     float64         `json:"age"` // seconds since the host's configuration was last known to be current
	Error   string          `json:"error,omitempty"`
}

func (s *Server) status(op *Operator, _ *http.Request) (any, error) {
	status := Status{Host: s.opts.Self, Health: s.Health(), Config: s.opts.Store.Dump()}
	visibleGroups := s.operatorGroups(op)
	if s.opts.Groups != nil {
		for _, g := range s.opts.Groups() {
			if op.unrestricted() || visibleGroups[g.ID] {
				status.Groups = append(status.Groups, g)
			}
		}
	}
	if !op.unrestricted() {
		return status, nil
	}
	if s.opts.Hosts != nil {
		status.Hosts = s.opts.Hosts()
	}
	if s.opts.Slots != nil {
		status.Slots = s.opts.Slots()
	}
	return status, nil
}

// operatorGroups returns the groups of the customers to which an operator is
// restricted.
func (s *Server) operatorGroups(op *Operator) map[topology.GroupID]bool {
	groups := map[topology.GroupID]bool{}
	for _, id := range op.Customers {
		if c, ok := s.opts.Store.Customer(id); ok {
			for _, group := range c.Databases {
				groups[group] = true
			}
		}
	}
	return groups
}

// objectStatus collects from every host which version of an object is in force.
func (s *Server) objectStatus(op *Operator, r *http.Request) (any, error) {
	kind, name, err := objectFromPath(r)
	if err != nil {
		return nil, err
	}
	if !s.canRead(op, kind, name) {
		return nil, newForbiddenError("operator %s is not allowed to read %s %s", op.Name, kind, name)
	}
	status := summarizeObjectStatus(kind, name, s.collectHostStatuses(r.Context(), kind, name))
	if status.Newest == 0 {
		return nil, result.New(result.NotFound, "%s %s is not known to any host", kind, name)
	}
	return status, nil
}

func (s *Server) collectHostStatuses(ctx context.Context, kind, name string) []HostStatus {
	var mu sync.Mutex
	var statuses []HostStatus
	var calls errgroup.Group
	calls.SetLimit(maxParallelStatusCalls)
	for _, host := range s.currentHosts() {
		calls.Go(func() error {
			status := s.fetchHostStatus(ctx, host, kind, name)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, status)
			return nil
		})
	}
	_ = calls.Wait()
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Host < statuses[j].Host })
	return statuses
}

// currentHosts returns the hosts that aren't gone, including this one.
func (s *Server) currentHosts() []topology.Host {
	hosts := []topology.Host{s.opts.Self}
	if s.opts.Hosts == nil {
		return hosts
	}
	for _, host := range s.opts.Hosts() {
		if host.ID != s.opts.Self.ID && host.State != topology.HostGone {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (s *Server) fetchHostStatus(ctx context.Context, host topology.Host, kind, name string) HostStatus {
	args := &customer.StatusArgs{Kind: kind, Name: name}
	var reply customer.StatusReply
	var err error
	if host.ID == s.opts.Self.ID {
		err = customer.NewService(s.opts.Store).Status(args, &reply)
	} else {
		ctx, cancel := context.WithTimeout(ctx, hostStatusTimeout)
		defer cancel()
		err = s.opts.Peers.Call(ctx, host.ID, customer.ServiceName+".Status", args, &reply)
	}
	status := HostStatus{Host: host.ID, Domain: host.Domain, Version: reply.Version, InForce: reply.InForce, Age: reply.Age.Seconds()}
	if err != nil {
		status.Error = err.Error()
	}
	return status
}

// summarizeObjectStatus determines the newest version and counts the hosts that
// don't have it in force.
func summarizeObjectStatus(kind, name string, hosts []HostStatus) *ObjectStatus {
	status := &ObjectStatus{Kind: kind, Name: name, Hosts: hosts}
	for _, host := range hosts {
		status.Newest = max(status.Newest, host.Version)
	}
	for _, host := range hosts {
		if host.InForce != status.Newest || host.Error != "" {
			status.Missing++
		}
	}
	status.Whole = status.Missing == 0
	return status
}

func (s *Server) dump(op *Operator, r *http.Request) (any, error) {
	if !op.unrestricted() {
		return nil, newForbiddenError("operator %s is not allowed to dump a host's state", op.Name)
	}
	dump := map[string]any{}
	selected := r.URL.Query().Get("slice")
	for component, state := range s.opts.Dumps {
		if selected == "" || selected == component {
			dump[component] = state()
		}
	}
	if len(dump) == 0 && selected != "" {
		return nil, result.New(result.NotFound, "component %s does not exist", selected)
	}
	return dump, nil
}

func (s *Server) usage(op *Operator, r *http.Request) (any, error) {
	name := r.PathValue("name")
	if err := customer.CheckName("customer", name); err != nil {
		return nil, err
	}
	id := topology.CustomerID(name)
	if !op.canAccessCustomer(id) {
		return nil, newForbiddenError("operator %s is not allowed to read the usage of customer %s", op.Name, name)
	}
	if s.opts.Usage == nil {
		return nil, result.New(result.UnsupportedFeature, "this host does not record usage")
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	return s.opts.Usage(ctx, id)
}
