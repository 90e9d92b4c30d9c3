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
	statusTimeout  = 1 * time.Second // for one host's answer
	statusParallel = 64              // hosts that are asked at once
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

// ObjectStatus tells on which hosts a version of an object is in force.
type ObjectStatus struct {
	Kind    string       `json:"kind"`
	Name    string       `json:"name"`
	Newest  uint64       `json:"newest"`  // version that any host has
	Whole   bool         `json:"whole"`   // every host has the newest in force
	Missing int          `json:"missing"` // hosts that don't have it in force or didn't answer
	Hosts   []HostStatus `json:"hosts"`
}

// HostStatus is one host's part of ObjectStatus.
type HostStatus struct {
	Host    topology.HostID `json:"host"`
	Domain  topology.Domain `json:"domain"`
	Version uint64          `json:"version"`
	InForce uint64          `json:"in_force"`
	Age     float64         `json:"age"` // seconds since its configuration was known to be current
	Error   string          `json:"error,omitempty"`
}

func (s *Server) status(op *Operator, _ *http.Request) (any, error) {
	status := Status{Host: s.opts.Self, Health: s.Health(), Config: s.opts.Store.Dump()}
	seen := s.groupsOf(op)
	if s.opts.Groups != nil {
		for _, g := range s.opts.Groups() {
			if op.all() || seen[g.ID] {
				status.Groups = append(status.Groups, g)
			}
		}
	}
	if !op.all() {
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

// groupsOf returns the groups of the customers that an operator is limited to.
func (s *Server) groupsOf(op *Operator) map[topology.GroupID]bool {
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

// objectStatus asks every host which version of an object is in force there.
func (s *Server) objectStatus(op *Operator, r *http.Request) (any, error) {
	kind, name, err := target(r)
	if err != nil {
		return nil, err
	}
	if !s.maySee(op, kind, name) {
		return nil, forbidden("operator %s may not see %s %s", op.Name, kind, name)
	}
	status := summarize(kind, name, s.askHosts(r.Context(), kind, name))
	if status.Newest == 0 {
		return nil, result.New(result.NotFound, "no host knows %s %s", kind, name)
	}
	return status, nil
}

func (s *Server) askHosts(ctx context.Context, kind, name string) []HostStatus {
	var mu sync.Mutex
	var all []HostStatus
	var calls errgroup.Group
	calls.SetLimit(statusParallel)
	for _, host := range s.everyHost() {
		calls.Go(func() error {
			status := s.askHost(ctx, host, kind, name)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, status)
			return nil
		})
	}
	_ = calls.Wait()
	sort.Slice(all, func(i, j int) bool { return all[i].Host < all[j].Host })
	return all
}

// everyHost returns the hosts that aren't gone, this one among them.
func (s *Server) everyHost() []topology.Host {
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

func (s *Server) askHost(ctx context.Context, host topology.Host, kind, name string) HostStatus {
	args := &customer.StatusArgs{Kind: kind, Name: name}
	var reply customer.StatusReply
	var err error
	if host.ID == s.opts.Self.ID {
		err = customer.NewService(s.opts.Store).Status(args, &reply)
	} else {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		err = s.opts.Peers.Call(ctx, host.ID, customer.ServiceName+".Status", args, &reply)
	}
	status := HostStatus{Host: host.ID, Domain: host.Domain, Version: reply.Version, InForce: reply.InForce, Age: reply.Age.Seconds()}
	if err != nil {
		status.Error = err.Error()
	}
	return status
}

// summarize counts the hosts that don't have the newest version in force.
func summarize(kind, name string, hosts []HostStatus) *ObjectStatus {
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
	if !op.all() {
		return nil, forbidden("operator %s may not dump a host's state", op.Name)
	}
	dump := map[string]any{}
	only := r.URL.Query().Get("slice")
	for slice, state := range s.opts.Dumps {
		if only == "" || only == slice {
			dump[slice] = state()
		}
	}
	if len(dump) == 0 && only != "" {
		return nil, result.New(result.NotFound, "no slice %s", only)
	}
	return dump, nil
}

func (s *Server) usage(op *Operator, r *http.Request) (any, error) {
	name := r.PathValue("name")
	if err := customer.CheckName("customer", name); err != nil {
		return nil, err
	}
	id := topology.CustomerID(name)
	if !op.mayUse(id) {
		return nil, forbidden("operator %s may not see the usage of customer %s", op.Name, name)
	}
	if s.opts.Usage == nil {
		return nil, result.New(result.UnsupportedFeature, "this host keeps no usage")
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	return s.opts.Usage(ctx, id)
}
