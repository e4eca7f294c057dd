package registry

// ReadyByVersion returns how many servers of a service can take requests, by the version of their program.
func (t *Table) ReadyByVersion(service ServiceID) map[string]int {
	ready := map[string]int{}
	for _, r := range t.records {
		if r.Service == service && r.State == Ready && !r.Unresponsive {
			ready[r.Version]++
		}
	}
	return ready
}
