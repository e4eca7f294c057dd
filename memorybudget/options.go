package memorybudget

// BaseUsage is the memory of an idle gatherer: program, runtime, tables.
const BaseUsage Bytes = 16 << 20

// minTotal is the least that TotalFor returns for a known memory.
const minTotal Bytes = 4 << 20

// TotalFor returns Options.MaxTotal for a machine's memory: half of what remains beside BaseUsage. The other half is for garbage
// that is not collected yet, which the runtime's own memory limit bounds. 0 = the memory is not known.
func TotalFor(memory Bytes) Bytes {
	if memory <= 0 {
		return 0
	}
	return max((memory-BaseUsage)/2, minTotal)
}

// DefaultOptions returns options for a total, which may be 0 for no limit, and a limit of request bodies. Reservations are for
// plain searches; connections and merges, which may be many and large, are limited to half of the total each.
func DefaultOptions(total, maxBodies Bytes) (o Options) {
	o.Limits[Bodies].Max = maxBodies
	if o.MaxTotal = total; total <= 0 {
		return o
	}
	o.Limits[Bodies] = Limit{Reserved: total / 16, Max: min(maxBodies, total/2)}
	o.Limits[Requests] = Limit{Reserved: total / 8}
	o.Limits[Answers] = Limit{Reserved: total / 16}
	o.Limits[ServerConns] = Limit{Reserved: total / 16}
	o.Limits[ActiveConns] = Limit{Reserved: total / 16, Max: total / 2}
	o.Limits[Merges] = Limit{Max: total / 2}
	return o
}
