// Package cicadaoperate holds the paths and bodies of the operators' API, which
// entries serve and cicadactl uses.
//
// # Usage
//
//	client := cicadaoperate.NewClient("http://127.0.0.1:8080", key)
//	change, err := client.Apply(ctx, cicadaoperate.Apply{File: "shop.yaml", Resources: text})
//	status, err := client.Status(ctx)
package cicadaoperate

import (
	"cmp"
	"slices"
)

// Paths of the operators' API.
const (
	PathApply      = "/operator/apply"
	PathResources  = "/operator/resources"
	PathAudit      = "/operator/audit"
	PathRollBack   = "/operator/rollback"
	PathStatus     = "/operator/status"
	PathVMs        = "/operator/vms"
	PathJobs       = "/operator/jobs"
	PathQuarantine = "/operator/quarantine"
)

// A Reference names a resource.
type Reference struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// An Expected is the revision at which an operator read a resource, 0 for one
// that should not exist.
type Expected struct {
	Reference
	Revision int64 `json:"revision"`
}

// An Apply asks for a change.
type Apply struct {
	// File is the name of the file that the resources come from, for errors.
	File string `json:"file"`
	// Resources are YAML documents.
	Resources string      `json:"resources"`
	Deletes   []Reference `json:"deletes,omitempty"`
	Expected  []Expected  `json:"expected,omitempty"`
	Reason    string      `json:"reason,omitempty"`
	DryRun    bool        `json:"dry-run,omitempty"`
}

// A RollBack asks for the resources to be as they were at a revision.
type RollBack struct {
	Revision int64  `json:"revision"`
	Reason   string `json:"reason,omitempty"`
	DryRun   bool   `json:"dry-run,omitempty"`
}

// A Delta is one resource of a change, before and after.
type Delta struct {
	Reference
	Before string `json:"before"`
	After  string `json:"after"`
}

// A Change is a change that was made, or would be.
type Change struct {
	Revision  int64    `json:"revision"`
	Operator  string   `json:"operator"`
	AtMs      int64    `json:"at-ms"`
	Reason    string   `json:"reason,omitempty"`
	Changes   []Delta  `json:"changes"`
	Customers []string `json:"customers,omitempty"`
}

// Sort puts the customers in order.
func (c *Change) Sort() { slices.Sort(c.Customers) }

// Keep leaves only the resources of a kind and name, where given, and reports
// whether any is left.
func (c *Change) Keep(kind, name string) bool {
	c.Changes = slices.DeleteFunc(c.Changes, func(d Delta) bool {
		return (kind != "" && d.Kind != kind) || (name != "" && d.Name != name)
	})
	return len(c.Changes) > 0
}

// An Audit is a part of the audit trail, the newest change last.
type Audit struct {
	Changes []Change `json:"changes"`
}

// A Resource is a resource in force.
type Resource struct {
	Reference
	Revision int64  `json:"revision"`
	Body     string `json:"body"`
}

// Resources are resources in force at a revision.
type Resources struct {
	Revision  int64      `json:"revision"`
	Resources []Resource `json:"resources"`
}

// A Status says what each process holds.
type Status struct {
	Revision int64         `json:"revision"`
	Entries  []EntryStatus `json:"entries"`
	Agents   []AgentStatus `json:"agents"`
}

// Sort orders the entries and agents by name.
func (s *Status) Sort() {
	slices.SortFunc(s.Entries, func(a, b EntryStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Agents, func(a, b AgentStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// Holds reports whether every process that is reached and live holds a
// revision.
func (s *Status) Holds(revision int64) bool {
	for _, e := range s.Entries {
		if e.State == "live" && e.Revision < revision {
			return false
		}
	}
	for _, a := range s.Agents {
		if a.State == "live" && a.VMState == "live" && a.Revision < revision {
			return false
		}
	}
	return true
}

// An EntryStatus is an entry's part of a status.
type EntryStatus struct {
	Name           string  `json:"name"`
	DataCentre     string  `json:"data-centre"`
	State          string  `json:"state"`
	Revision       int64   `json:"revision"`
	Shards         []int32 `json:"shards"`
	PlatformReads  int64   `json:"platform-reads"`
	PlatformWrites int64   `json:"platform-writes"`
}

// An AgentStatus is an agent's part of a status.
type AgentStatus struct {
	Name          string `json:"name"`
	Group         string `json:"group"`
	DataCentre    string `json:"data-centre"`
	State         string `json:"state"`
	VMState       string `json:"vm-state"`
	Revision      int64  `json:"revision"`
	Slots         int32  `json:"slots"`
	Online        int32  `json:"online"`
	OnlineWaiting int32  `json:"online-waiting"`
	Batch         int32  `json:"batch"`
	BatchWaiting  int32  `json:"batch-waiting"`
}

// Drained says how many calls a leaving endpoint still runs.
type Drained struct {
	Name    string `json:"name"`
	Running int32  `json:"running"`
}
