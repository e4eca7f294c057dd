package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
)

// DatasetSchemaName is the schema's name on the wire.
const DatasetSchemaName = "arrears/1"

// DatasetSchema is the dataset's schema as an operator's configuration declares it, without the section's name.
const DatasetSchema = "columns = account:text customer:text due:date amount:money bills:int+\naccount = account\ndigits = 18\n"

// DatasetColumns are the schema's columns, in order.
var DatasetColumns = []string{columnAccount, columnCustomer, columnDue, columnAmount, columnBills}

const (
	// datasetStream is the second word of the random generator's seed for the initial accounts.
	datasetStream = 7
	// firstVersion is the initial version of segment 0; each further segment starts one higher.
	firstVersion = 1000
	// addedAccounts is the base of the numbers of accounts that Advance adds, above those of the initial accounts.
	addedAccounts = 900_000
)

// Dataset is a generated, versioned set of accounts in segments, determined by its seed and shape. Its methods may be called
// concurrently.
type Dataset struct {
	mu       sync.RWMutex
	seed     uint64
	segments [][]Account
	versions []uint64
	history  []map[uint64][]Account // each segment's data by version; grows with each Advance
}

// DatasetShape describes a dataset.
type DatasetShape struct {
	Segments        int
	Accounts        int  // of all segments
	SingleSegment   bool // all accounts are in segment 0, the other segments are empty
	EqualKeys       bool // all accounts have the same values except for their names
	NegativeAmounts bool // some amounts are credits
	// SharedAccounts puts the same account names into several segments, so that only the segment breaks ties.
	SharedAccounts bool
}

// NewDataset returns the dataset of a seed and shape.
func NewDataset(seed uint64, shape DatasetShape) *Dataset {
	d := &Dataset{seed: seed, segments: make([][]Account, shape.Segments), versions: make([]uint64, shape.Segments)}
	rng := rand.New(rand.NewPCG(seed, datasetStream))
	for i := range d.versions {
		d.versions[i] = firstVersion + uint64(i)
	}
	for n := range shape.Accounts {
		segment := rng.IntN(shape.Segments)
		switch {
		case shape.SingleSegment:
			segment = 0
		case shape.SharedAccounts:
			segment = n % shape.Segments
		}
		d.segments[segment] = append(d.segments[segment], newAccount(rng, segment, n, shape))
	}
	for i, rows := range d.segments {
		d.history = append(d.history, map[uint64][]Account{d.versions[i]: rows})
	}
	return d
}

// newAccount generates account number n at random.
func newAccount(rng *rand.Rand, segment, n int, shape DatasetShape) Account {
	account := Account{Segment: segment, Account: fmt.Sprintf("a-%06d", n)}
	if shape.SharedAccounts {
		account.Account = fmt.Sprintf("a-%06d", n/shape.Segments)
	}
	customer := fmt.Sprintf("c-%02d", rng.IntN(37)*rng.IntN(3)) // a few customers have many accounts, most have few
	due := fmt.Sprintf("2026-%02d-%02d", 1+rng.IntN(12), 1+rng.IntN(9))
	cents := int64(rng.IntN(40)) * 2550 // many amounts are equal
	if rng.IntN(4) == 0 {
		cents = int64(rng.IntN(2_000_000))
	}
	if shape.NegativeAmounts && rng.IntN(6) == 0 {
		cents = -cents
	}
	bills := int64(rng.IntN(6))
	if shape.EqualKeys {
		customer, due, cents, bills = "c-00", "2026-01-01", 100, 1
	}
	account.Customer, account.Due, account.Cents, account.Bills = &customer, &due, &cents, &bills
	if !shape.EqualKeys {
		account.dropValues(rng)
	}
	return account
}

// dropValues removes some values at random.
func (a *Account) dropValues(rng *rand.Rand) {
	const missingOneIn = 25
	if rng.IntN(missingOneIn) == 0 {
		a.Customer = nil
	}
	if rng.IntN(missingOneIn) == 0 {
		a.Due = nil
	}
	if rng.IntN(missingOneIn) == 0 {
		a.Cents = nil
	}
}

// Segments returns the number of segments.
func (d *Dataset) Segments() int { return len(d.segments) }

// Rows returns a copy of a segment's accounts and their version.
func (d *Dataset) Rows(segment int) ([]Account, uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return append([]Account(nil), d.segments[segment]...), d.versions[segment]
}

// RowsAt returns a copy of a segment's accounts at a version; ok is false if there was no such version.
func (d *Dataset) RowsAt(segment int, version uint64) (rows []Account, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if segment < 0 || segment >= len(d.history) {
		return nil, false
	}
	rows, ok = d.history[segment][version]
	return append([]Account(nil), rows...), ok
}

// Advance moves a segment to its next version, in which one account is added and the amount of another has changed.
func (d *Dataset) Advance(segment int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions[segment]++
	version := d.versions[segment]
	rng := rand.New(rand.NewPCG(d.seed, version*1000+uint64(segment)))
	number := addedAccounts + int(version)*len(d.segments) + segment
	added := newAccount(rng, segment, number, DatasetShape{Segments: len(d.segments)})
	rows := append([]Account(nil), d.segments[segment]...) // earlier versions stay as they are
	if len(rows) > 0 {
		cents := int64(rng.IntN(1_000_000))
		rows[rng.IntN(len(rows))].Cents = &cents
	}
	d.segments[segment] = append(rows, added)
	d.history[segment][version] = d.segments[segment]
}
