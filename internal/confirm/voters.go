package confirm

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the RPC service of voters.
const ServiceName = "Confirm"

const (
	recordMethod   = ServiceName + ".Record"
	instructMethod = ServiceName + ".Instruct"
)

// HolderSilence is how long a voter goes on without hearing of the holder of the duty, well
// below the silence after which Process.Gone is set.
const HolderSilence = 20 * time.Second

// Address names a voter's register.
type Address struct {
	Group    topology.GroupID
	Boot     uint64 // of the process that is the voter
	Epoch    uint64
	FromTerm uint64 // of the epoch
}

// RecordArgs asks a voter to record a position.
type RecordArgs struct {
	Address
	Position topology.Position
}

// RecordReply is its answer.
type RecordReply struct{ Verdict Verdict }

// InstructArgs is an instruction of the holder of the group's duty.
type InstructArgs struct {
	Address
	Instruction
}

// InstructReply is a voter's answer to an instruction.
type InstructReply struct {
	Accepted bool
	Ended    bool  // the process that was the voter has ended
	Before   State // before the instruction
}

// Voters contains the registers of the groups of which this process is a voter. It is the
// RPC service of voters and safe for concurrent use.
type Voters struct {
	boot   uint64
	trusts func(topology.GroupID) bool

	mu        sync.Mutex
	registers map[topology.GroupID]*Register
}

// NewVoters returns the registers of a process that has just started. trusts reports whether
// this host has heard of the holder of a group's duty within HolderSilence, and records
// nothing for the group otherwise: after a longer silence the holder takes this process for
// ended. nil: always.
func NewVoters(boot uint64, trusts func(topology.GroupID) bool) *Voters {
	return &Voters{boot: boot, trusts: trusts, registers: map[topology.GroupID]*Register{}}
}

// register returns the register of a group. The caller holds v.mu.
func (v *Voters) register(id topology.GroupID) *Register {
	r := v.registers[id]
	if r == nil {
		r = &Register{}
		v.registers[id] = r
	}
	return r
}

// Record records a position for another host, or for this one.
func (v *Voters) Record(args *RecordArgs, reply *RecordReply) error {
	if args.Boot != v.boot {
		reply.Verdict = OtherProcess
		return nil
	}
	if v.trusts != nil && !v.trusts(args.Group) {
		reply.Verdict = Sealed
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	reply.Verdict = v.register(args.Group).Record(args.Epoch, args.FromTerm, args.Position)
	return nil
}

// Instruct carries out an instruction of the holder of a group's duty.
func (v *Voters) Instruct(args *InstructArgs, reply *InstructReply) error {
	if args.Boot != v.boot {
		reply.Ended = true
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	reply.Before, reply.Accepted = v.register(args.Group).Instruct(args.Epoch, args.FromTerm, args.Instruction)
	return nil
}

// Dump returns the states of all registers for operators.
func (v *Voters) Dump() map[topology.GroupID]State {
	v.mu.Lock()
	defer v.mu.Unlock()
	states := make(map[topology.GroupID]State, len(v.registers))
	for id, r := range v.registers {
		states[id] = r.State()
	}
	return states
}
