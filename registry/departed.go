package registry

// MaxDeparted is the number of servers that Departed remembers. It covers the servers that leave within minutes while half of a large
// fleet is replaced, in a few megabytes.
const MaxDeparted = 32768

// Departed remembers the servers that left last, so that an outdated report does not add them again. An instance id is never used
// by another server, so that an entry may stay for any time. The zero value is ready for use.
type Departed struct {
	known  map[InstanceID]bool
	order  []InstanceID // a ring, once it has MaxDeparted entries
	oldest int          // index in order of the entry to be replaced next
}

// Add remembers a server. If MaxDeparted servers are known, it replaces the one that was added first.
func (d *Departed) Add(id InstanceID) {
	if d.known[id] {
		return
	}
	if d.known == nil {
		d.known = map[InstanceID]bool{}
	}
	d.known[id] = true
	if len(d.order) < MaxDeparted {
		d.order = append(d.order, id)
		return
	}
	delete(d.known, d.order[d.oldest])
	d.order[d.oldest] = id
	d.oldest = (d.oldest + 1) % MaxDeparted
}

// Contains reports whether a server is remembered.
func (d *Departed) Contains(id InstanceID) bool { return d.known[id] }
