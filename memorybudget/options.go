package memorybudget

// BaseUsage is the memory that an idle gatherer uses: program, runtime and tables.
const BaseUsage Bytes = 16 << 20

// minTotal is the minimum that TotalFor returns if the machine's memory is known.
const minTotal Bytes = 4 << 20

// TotalFor returns Options.MaxTotal for the memory of a machine: half of the memory above BaseUsage, but at least minTotal.
// The other half is for garbage that has not been collected yet, which is bounded by the runtime's own memory limit. It
// returns 0, no limit, if the memory is 0, which means that it is not known.
func TotalFor(memory Bytes) Bytes {
	if memory <= 0 {
		return 0
	}
	return max((memory-BaseUsage)/2, minTotal)
}

// DefaultOptions returns options for a MaxTotal, where 0 means no limit, and a limit for request bodies. The accounts that
// plain searches need have reservations. Active client connections, which may be many, and merges, which may be large, are
// limited to half of the total each; so are request bodies, if maxBodies is not less.
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
