package cicadaconfig

// CheckReferences returns an error for each of the given resources that refers to one that is not
// among them, or that holds the key of another, in their order.
func CheckReferences(resources []Resource) []error {
	s := &Snapshot{
		resources:      make(map[resourceID]Resource, len(resources)),
		customers:      make(map[string]*ResolvedCustomer),
		customersByKey: make(map[string]*ResolvedCustomer),
		groupsByModel:  make(map[string][]string),
	}
	for _, r := range resources {
		s.resources[r.id()] = r
	}
	var errs []error
	for _, r := range resources {
		if err := s.add(r); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}
