// Package cicadaoperate defines the paths and bodies of the operator API, which
// entries serve, and provides a client of it and of the customers' batch API.
//
// # Usage
//
//	client := cicadaoperate.NewClient("http://127.0.0.1:8080", key)
//	change, err := client.Apply(ctx, cicadaoperate.ApplyRequest{File: "shop.yaml", Resources: text})
//	status, err := client.Status(ctx)
package cicadaoperate

import (
	"cmp"
	"slices"
)

// Paths of the operator API.
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

// A Reference identifies a resource.
type Reference struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// An ExpectedRevision is the revision at which an operator read a resource, or 0 if
// the resource must not exist.
type ExpectedRevision struct {
	Reference
	Revision int64 `json:"revision"`
}

// An ApplyRequest is a request to create, replace and delete resources in one change.
type ApplyRequest struct {
	// File is the name of the resource file. It is only used in errors.
	File string `json:"file"`
	// Resources holds the resources to write, as YAML documents.
	Resources string             `json:"resources"`
	Deletes   []Reference        `json:"deletes,omitempty"`
	Expected  []ExpectedRevision `json:"expected,omitempty"`
	Reason    string             `json:"reason,omitempty"`
	DryRun    bool               `json:"dry-run,omitempty"`
}

// A RollBackRequest is a request to restore all resources to their state at a
// revision.
type RollBackRequest struct {
	Revision int64  `json:"revision"`
	Reason   string `json:"reason,omitempty"`
	DryRun   bool   `json:"dry-run,omitempty"`
}

// A ResourceChange is a resource before and after a change. An empty text means that
// the resource did not exist or has been deleted.
type ResourceChange struct {
	Reference
	Before string `json:"before"`
	After  string `json:"after"`
}

// A Change is a configuration change that has been made, or in a dry run would be
// made. Customers are the names of the customers that it affects.
type Change struct {
	Revision  int64            `json:"revision"`
	Operator  string           `json:"operator"`
	AtMs      int64            `json:"at-ms"`
	Reason    string           `json:"reason,omitempty"`
	Changes   []ResourceChange `json:"changes"`
	Customers []string         `json:"customers,omitempty"`
}

// SortCustomers sorts the affected customers by name.
func (c *Change) SortCustomers() { slices.Sort(c.Customers) }

// FilterResources removes the changes of resources with another kind or name, where
// an empty kind or name matches all, and reports whether any change is left.
func (c *Change) FilterResources(kind, name string) bool {
	c.Changes = slices.DeleteFunc(c.Changes, func(change ResourceChange) bool {
		return (kind != "" && change.Kind != kind) || (name != "" && change.Name != name)
	})
	return len(c.Changes) > 0
}

// An AuditTrail is a part of the audit trail, in order of revisions.
type AuditTrail struct {
	Changes []Change `json:"changes"`
}

// A Resource is a resource of the current configuration.
type Resource struct {
	Reference
	Revision int64  `json:"revision"`
	Body     string `json:"body"`
}

// Resources are the resources of the configuration at a revision.
type Resources struct {
	Revision  int64      `json:"revision"`
	Resources []Resource `json:"resources"`
}

// A Status is the status of all entries and agents. Revision is the configuration
// revision of the entry that responded.
type Status struct {
	Revision int64         `json:"revision"`
	Entries  []EntryStatus `json:"entries"`
	Agents   []AgentStatus `json:"agents"`
}

// Sort sorts the entries and agents by name.
func (s *Status) Sort() {
	slices.SortFunc(s.Entries, func(a, b EntryStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Agents, func(a, b AgentStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// HasRevision reports whether all live processes that could be reached have applied
// a configuration revision.
func (s *Status) HasRevision(revision int64) bool {
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

// An EntryStatus is the status of an entry.
type EntryStatus struct {
	Name           string  `json:"name"`
	DataCentre     string  `json:"data-centre"`
	State          string  `json:"state"`
	Revision       int64   `json:"revision"`
	Shards         []int32 `json:"shards"`
	PlatformReads  int64   `json:"platform-reads"`
	PlatformWrites int64   `json:"platform-writes"`
}

// An AgentStatus is the status of an agent and its endpoint.
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

// A DrainResult is the number of calls that a draining endpoint is still running.
type DrainResult struct {
	Name    string `json:"name"`
	Running int32  `json:"running"`
}
