package memorybudget

// Base is what a gatherer holds that does no work: text, runtime, tables.
const Base Bytes = 16 << 20

// least is the least that a sum is set to where the memory is not stated by the operator.
const least Bytes = 4 << 20

// SumFor is what all accounts together may hold in a memory: half of what it leaves beside the base. The other half is for
// garbage that has not been collected yet, which the runtime's own limit keeps to that. 0 = the memory is not known.
func SumFor(memory Bytes) Bytes {
	if memory <= 0 {
		return 0
	}
	return max((memory-Base)/2, least)
}

// For makes figures of a sum, which may be 0 for no sum, and of what bodies may hold by themselves. The floors are for what plain
// searches need; connections and merges, which can be many and large, may have half each.
func For(most, bodies Bytes) (f Figures) {
	f.Shares[Bodies].Most = bodies
	if f.Most = most; most <= 0 {
		return f
	}
	f.Shares[Bodies] = Share{Least: most / 16, Most: min(bodies, most/2)}
	f.Shares[Searches] = Share{Least: most / 8}
	f.Shares[Answers] = Share{Least: most / 16}
	f.Shares[Servers] = Share{Least: most / 16}
	f.Shares[Awake] = Share{Least: most / 16, Most: most / 2}
	f.Shares[Merges] = Share{Most: most / 2}
	return f
}
