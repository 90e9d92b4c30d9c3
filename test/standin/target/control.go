package target

import (
	"context"
	"strconv"
	"strings"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func controlColumns(function string) []column {
	switch function {
	case "nettlewalk_status", "nettlewalk_fence", "nettlewalk_promote", "nettlewalk_follow":
		var columns []column
		for _, name := range []string{"target", "role", "term", "primary", "received", "applied"} {
			columns = append(columns, column{name: name, oid: oidText})
		}
		return columns
	case "pg_advisory_unlock_all":
		return []column{{name: function, oid: oidText}}
	default:
		return []column{{name: function, oid: oidBool}}
	}
}

// runControl executes a control function and returns its result row.
func (s *session) runControl(ctx context.Context, call []string, args []Value) ([]any, error) {
	numbers := make([]uint64, len(call))
	texts := make([]string, len(call))
	for i, arg := range call[1:] {
		texts[i+1] = argumentText(arg, args)
		numbers[i+1], _ = strconv.ParseUint(texts[i+1], 10, 64)
	}
	if arity := controlArity(call[0]); len(call)-1 != arity {
		return nil, pgErrorf(stateSyntax, "%s takes %d arguments", call[0], arity)
	}
	node := s.srv.node
	switch call[0] {
	case "nettlewalk_status":
		return statusRow(node.status(), nil)
	case "nettlewalk_fence":
		return statusRow(node.fence(numbers[1]))
	case "nettlewalk_promote":
		return statusRow(node.promote(ctx, numbers[1]))
	case "nettlewalk_follow":
		s.setRoleChangePending(true)
		return statusRow(node.follow(numbers[1], topology.TargetID(texts[2])))
	case "pg_try_advisory_lock":
		return []any{s.srv.tryAdvisoryLock(int64(numbers[1]), s.pid)}, nil
	case "pg_advisory_unlock":
		return []any{s.srv.releaseAdvisoryLock(int64(numbers[1]), s.pid)}, nil
	case "pg_advisory_unlock_all":
		s.srv.releaseAdvisoryLocks(s.pid)
		return []any{""}, nil
	case "nettlewalk_end_slot":
		return []any{s.srv.terminateLockHolder(int64(numbers[1]))}, nil
	default:
		return nil, pgErrorf(stateNoTable, "function %s does not exist", call[0])
	}
}

// setRoleChangePending marks whether the session is executing a role change
// that can rebuild the database. It reports whether the session's database was
// replaced in the meantime.
func (s *session) setRoleChangePending(pending bool) (databaseReplaced bool) {
	s.srv.mu.Lock()
	defer s.srv.mu.Unlock()
	s.roleChangePending = pending
	return s.databaseReplaced
}

func controlArity(function string) int {
	switch function {
	case "nettlewalk_status", "pg_advisory_unlock_all":
		return 0
	case "nettlewalk_follow":
		return 2
	default:
		return 1
	}
}

// argumentText returns the text of a literal or parameter.
func argumentText(arg string, args []Value) string {
	if n, err := strconv.Atoi(strings.TrimPrefix(arg, "$")); err == nil && arg[0] == '$' && n >= 1 && n <= len(args) {
		return encodeText(args[n-1].sqliteValue(), oidText)
	}
	return strings.Trim(arg, "'")
}

func statusRow(st ctl.Status, err error) ([]any, error) {
	if err != nil {
		return nil, err
	}
	return []any{
		string(st.Target),
		string(st.Role),
		strconv.FormatUint(st.Term, 10),
		string(st.Primary),
		st.Received.String(),
		st.Applied.String(),
	}, nil
}

// tryAdvisoryLock acquires an advisory lock for the connection with that
// process ID.
func (s *Server) tryAdvisoryLock(lock int64, pid uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder, taken := s.locks[lock]; taken && holder != pid {
		return false
	}
	s.locks[lock] = pid
	return true
}

func (s *Server) releaseAdvisoryLock(lock int64, pid uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[lock] != pid {
		return false
	}
	delete(s.locks, lock)
	return true
}

func (s *Server) releaseAdvisoryLocks(pid uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lock, holder := range s.locks {
		if holder == pid {
			delete(s.locks, lock)
		}
	}
}

// terminateLockHolder closes the connection that holds the lock. The lock is
// free when it returns.
func (s *Server) terminateLockHolder(lock int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pid, taken := s.locks[lock]
	if !taken {
		return false
	}
	delete(s.locks, lock)
	if sess := s.sessions[pid]; sess != nil {
		sess.cancel()
		sess.conn.Close()
	}
	return true
}
