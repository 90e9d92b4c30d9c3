package target

import "context"

// Promote makes next the primary of a new term and makes the others follow it,
// as the platform's promotion call does. Entries that next lacks are rolled
// back on the others.
func Promote(ctx context.Context, next *Server, others []*Server) error {
	term := next.Status().Term
	for _, s := range others {
		term = max(term, s.Status().Term)
	}
	term++
	if _, err := next.node.fence(term); err != nil {
		return err
	}
	if _, err := next.node.promote(ctx, term); err != nil {
		return err
	}
	for _, s := range others {
		if _, err := s.node.follow(term, next.cfg.ID); err != nil {
			return err
		}
	}
	return nil
}

// Follow makes a server that was primary follow the primary of a later term.
func Follow(s, primary *Server) error {
	_, err := s.node.follow(primary.Status().Term, primary.cfg.ID)
	return err
}
