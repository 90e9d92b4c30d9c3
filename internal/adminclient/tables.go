package adminclient

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/internal/usage"
)

// Usage is a customer's resource usage.
type Usage = usage.Report

// PrintJSON writes an answer as indented JSON.
func PrintJSON(w io.Writer, answer any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(answer)
}

// PrintObjects writes a table of objects.
func PrintObjects(w io.Writer, list *admin.Objects) error {
	return writeTable(w, "NAME\tVERSION\tIN FORCE\tVALUE", func(row func(...any)) {
		for _, o := range list.Objects {
			row(o.Name, o.Version, o.InForce, truncateValue(string(o.Value)))
		}
	})
}

// PrintObject writes one object with its complete value.
func PrintObject(w io.Writer, o *admin.Object) error {
	fmt.Fprintf(w, "%s %s, version %d, in force here: %d\n", o.Kind, o.Name, o.Version, o.InForce)
	return PrintJSON(w, o.Value)
}

// PrintEditResult writes the outcome of an edit.
func PrintEditResult(w io.Writer, name string, edited *admin.EditResult) error {
	text := ""
	if edited.Superseded {
		text = "; a later edit already replaced it"
	}
	_, err := fmt.Fprintf(w, "%s: done, version %d%s\n", name, edited.Version, text)
	return err
}

// PrintStatus writes a host's view of the system.
func PrintStatus(w io.Writer, s *admin.Status) error {
	fmt.Fprintf(w, "host %s in %s: %s", s.Host.ID, s.Host.Domain, s.Health.State)
	if s.Health.Reason != "" {
		fmt.Fprintf(w, " (%s)", s.Health.Reason)
	}
	fmt.Fprint(w, "\n\n")
	if len(s.Hosts) > 0 {
		if err := printHosts(w, s.Hosts); err != nil {
			return err
		}
	}
	if err := printGroups(w, s.Groups); err != nil {
		return err
	}
	if s.Slots == nil {
		return nil
	}
	fmt.Fprintln(w)
	return printSlots(w, s.Slots)
}

func printHosts(w io.Writer, hosts []topology.Host) error {
	err := writeTable(w, "HOST\tDOMAIN\tSTATE\tCALLERS\tPEERS\tOPERATORS", func(row func(...any)) {
		for _, h := range hosts {
			row(h.ID, h.Domain, h.State, h.CallerAddr, h.PeerAddr, h.AdminAddr)
		}
	})
	fmt.Fprintln(w)
	return err
}

func printGroups(w io.Writer, groups []admin.GroupStatus) error {
	return writeTable(w, "GROUP\tTERM\tPRIMARY\tTARGET\tROLE\tAPPLIED\tLAG", func(row func(...any)) {
		for _, g := range groups {
			if len(g.Targets) == 0 {
				row(g.ID, g.Term, g.Primary, "", "", "", "")
			}
			for _, t := range g.Targets {
				row(g.ID, g.Term, g.Primary, t.ID, t.Role, t.Applied, t.Lag)
			}
		}
	})
}

// PrintObjectStatus writes on which hosts the newest version of an object is in
// force.
func PrintObjectStatus(w io.Writer, s *admin.ObjectStatus) error {
	fmt.Fprintf(w, "%s %s: newest version %d, ", s.Kind, s.Name, s.Newest)
	if s.Whole {
		fmt.Fprintf(w, "in force on all %d hosts\n\n", len(s.Hosts))
	} else {
		fmt.Fprintf(w, "not in force on %d of %d hosts\n\n", s.Missing, len(s.Hosts))
	}
	return writeTable(w, "HOST\tDOMAIN\tVERSION\tIN FORCE\tAGE\tERROR", func(row func(...any)) {
		for _, h := range s.Hosts {
			age := time.Duration(h.Age * float64(time.Second)).Round(time.Millisecond)
			row(h.Host, h.Domain, h.Version, h.InForce, age, h.Error)
		}
	})
}

// PrintUsage writes a customer's usage.
func PrintUsage(w io.Writer, u *Usage) error {
	err := writeTable(w, "CUSTOMER\tSTATEMENTS\tROWS\tBYTES\tTARGET TIME", func(row func(...any)) {
		row(u.Customer, u.Statements, u.Rows, u.Bytes, u.TargetTime.Round(time.Millisecond))
	})
	if len(u.Unanswered) > 0 {
		fmt.Fprintf(w, "hosts that did not answer and may have recorded more usage: %v\n", u.Unanswered)
	}
	if u.Platform != "" {
		fmt.Fprintf(w, "usage stored only at the platform is not included: %s\n", u.Platform)
	}
	return err
}

const maxShownValueBytes = 80 // longer values are truncated in tables

func truncateValue(s string) string {
	if len(s) > maxShownValueBytes {
		return s[:maxShownValueBytes] + "..."
	}
	return s
}

// writeTable writes a header and rows in aligned columns.
func writeTable(w io.Writer, header string, rows func(row func(...any))) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, header)
	rows(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			fmt.Fprint(tw, cell)
		}
		fmt.Fprintln(tw)
	})
	return tw.Flush()
}
