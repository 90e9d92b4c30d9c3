package target

import (
	"encoding/json"
	"os"
	"path/filepath"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const roleStateFile = "term.json"

// persistedRole is the role and term of a server, stored durably.
type persistedRole struct {
	Role    ctl.Role          `json:"role"`
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
}

// loadPersistedRole reads the role from disk. On the first start it returns
// the configured role instead, and first is true. A former primary is loaded
// as fenced.
func loadPersistedRole(cfg Config) (role persistedRole, first bool, err error) {
	data, err := os.ReadFile(filepath.Join(cfg.Dir, roleStateFile))
	if os.IsNotExist(err) {
		return initialRole(cfg), true, nil
	}
	if err != nil {
		return persistedRole{}, false, err
	}
	if err := json.Unmarshal(data, &role); err != nil {
		return persistedRole{}, false, err
	}
	if role.Role == ctl.Primary {
		role.Role, role.Primary = ctl.Fenced, ""
	}
	return role, false, nil
}

func initialRole(cfg Config) persistedRole {
	switch cfg.Primary {
	case cfg.ID:
		return persistedRole{Role: ctl.Primary, Term: cfg.Term, Primary: cfg.ID}
	case "":
		return persistedRole{Role: ctl.Fenced, Term: cfg.Term}
	default:
		return persistedRole{Role: ctl.Replica, Term: cfg.Term, Primary: cfg.Primary}
	}
}

func (role persistedRole) save(dir string) error {
	data, err := json.Marshal(role)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, roleStateFile)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
