package registry

// ReadyByVersion returns the number of servers of a service that accept requests, by program version.
func (t *Table) ReadyByVersion(service ServiceID) map[string]int {
	ready := map[string]int{}
	for _, r := range t.records {
		if r.Service == service && r.State == Ready && !r.Unresponsive {
			ready[r.Version]++
		}
	}
	return ready
}
