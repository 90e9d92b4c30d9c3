package target

import (
	"encoding/json"
	"os"
	"path/filepath"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const metaFile = "term.json"

// meta is what a server must not forget: its role and term.
type meta struct {
	Role    ctl.Role          `json:"role"`
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
}

// loadMeta returns what the directory holds, or the first start's settings.
// A primary comes back fenced.
func loadMeta(cfg Config) (m meta, first bool, err error) {
	data, err := os.ReadFile(filepath.Join(cfg.Dir, metaFile))
	if os.IsNotExist(err) {
		return firstMeta(cfg), true, nil
	}
	if err != nil {
		return meta{}, false, err
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return meta{}, false, err
	}
	if m.Role == ctl.Primary {
		m.Role, m.Primary = ctl.Fenced, ""
	}
	return m, false, nil
}

func firstMeta(cfg Config) meta {
	switch cfg.Primary {
	case cfg.ID:
		return meta{Role: ctl.Primary, Term: cfg.Term, Primary: cfg.ID}
	case "":
		return meta{Role: ctl.Fenced, Term: cfg.Term}
	default:
		return meta{Role: ctl.Replica, Term: cfg.Term, Primary: cfg.Primary}
	}
}

func (m meta) save(dir string) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, metaFile)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
