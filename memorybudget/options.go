package memorybudget

// BaseUsage is what a gatherer holds that does no work: text, runtime, tables.
const BaseUsage Bytes = 16 << 20

// minTotal is the least that a sum is set to where the memory is not stated by the operator.
const minTotal Bytes = 4 << 20

// TotalFor is what all accounts together may hold in a memory: half of what it leaves beside the base. The other half is for
// garbage that has not been collected yet, which the runtime's own limit keeps to that. 0 = the memory is not known.
func TotalFor(memory Bytes) Bytes {
	if memory <= 0 {
		return 0
	}
	return max((memory-BaseUsage)/2, minTotal)
}

// DefaultOptions makes figures of a sum, which may be 0 for no sum, and of what bodies may hold by themselves. The floors are for what plain
// searches need; connections and merges, which can be many and large, may have half each.
func DefaultOptions(most, bodies Bytes) (f Options) {
	f.Limits[Bodies].Max = bodies
	if f.MaxTotal = most; most <= 0 {
		return f
	}
	f.Limits[Bodies] = Limit{Reserved: most / 16, Max: min(bodies, most/2)}
	f.Limits[Requests] = Limit{Reserved: most / 8}
	f.Limits[Answers] = Limit{Reserved: most / 16}
	f.Limits[ServerConns] = Limit{Reserved: most / 16}
	f.Limits[ActiveConns] = Limit{Reserved: most / 16, Max: most / 2}
	f.Limits[Merges] = Limit{Max: most / 2}
	return f
}
