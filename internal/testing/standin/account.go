package standin

import (
	"encoding/json"
	"fmt"
	"math/big"
	"strings"
)

// Names of the schema's columns.
const (
	columnAccount  = "account"
	columnCustomer = "customer"
	columnDue      = "due"
	columnAmount   = "amount"
	columnBills    = "bills"
)

// descending is the prefix of a column that a list is sorted by from the greatest value down.
const descending = "-"

// centsPerUnit is the number of cents in one unit of an amount.
const centsPerUnit = 100

// Account is one row of the dataset: the debt of one account. Missing values are nil.
type Account struct {
	Segment  int
	Account  string
	Customer *string
	Due      *string // date, YYYY-MM-DD
	Cents    *int64  // the debt in cents; negative for a credit
	Bills    *int64
}

// value returns the account's value in a column, a string or an int64; nil if it is missing.
func (a Account) value(column string) any {
	switch {
	case column == columnAccount:
		return a.Account
	case column == columnCustomer && a.Customer != nil:
		return *a.Customer
	case column == columnDue && a.Due != nil:
		return *a.Due
	case column == columnAmount && a.Cents != nil:
		return *a.Cents
	case column == columnBills && a.Bills != nil:
		return *a.Bills
	}
	return nil
}

// JSON returns the account's row as a shard server sends it.
func (a Account) JSON() string {
	var values []any
	for _, column := range DatasetColumns {
		values = append(values, wireValue(column, a.value(column)))
	}
	text, err := json.Marshal(values)
	if err != nil {
		panic(err) // impossible: strings, integers and nil only
	}
	return string(text)
}

// identity returns a text that identifies a row: its segment and its JSON encoding.
func (a Account) identity() string { return fmt.Sprintf("%d:%s", a.Segment, a.JSON()) }

func identities(rows []Account) []string {
	texts := make([]string, len(rows))
	for i, row := range rows {
		texts[i] = row.identity()
	}
	return texts
}

// Compare orders two accounts as a sorted list does: by the columns of order, then by account, then by segment. A column with
// the prefix "-" is sorted descending. Missing values come last either way.
func Compare(order []string, x, y Account) int {
	for _, name := range order {
		column, _ := strings.CutPrefix(name, descending)
		if d := compareInOrder(name, x.value(column), y.value(column)); d != 0 {
			return d
		}
	}
	if d := strings.Compare(x.Account, y.Account); d != 0 {
		return d
	}
	return x.Segment - y.Segment
}

// compareInOrder compares two values of a column in its sort direction: descending if the name has the prefix "-".
func compareInOrder(name string, x, y any) int {
	d := compareValues(x, y)
	if strings.HasPrefix(name, descending) && x != nil && y != nil {
		return -d
	}
	return d
}

// compareValues compares two values of one column in ascending order. Missing values are greater than all others.
func compareValues(x, y any) int {
	switch {
	case x == nil && y == nil:
		return 0
	case x == nil:
		return 1
	case y == nil:
		return -1
	}
	if text, ok := x.(string); ok {
		return strings.Compare(text, y.(string))
	}
	a, b := x.(int64), y.(int64)
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// wireValue converts a value to the form that is encoded as JSON: amounts become decimal strings.
func wireValue(column string, value any) any {
	if cents, ok := value.(int64); ok && column == columnAmount {
		return FormatCents(cents)
	}
	return value
}

// formatValue encodes a value as in a row of a response.
func formatValue(column string, value any) string {
	text, err := json.Marshal(wireValue(column, value))
	if err != nil {
		panic(err) // impossible: strings, integers and nil only
	}
	return string(text)
}

// decodeValue parses a value of a row; see formatValue.
func decodeValue(column string, raw json.RawMessage) (any, error) {
	if string(raw) == "null" {
		return nil, nil
	}
	if column == columnBills {
		var n int64
		err := json.Unmarshal(raw, &n)
		return n, err
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil || column != columnAmount {
		return text, err
	}
	return parseCents(text)
}

// FormatCents formats cents as a decimal amount.
func FormatCents(cents int64) string {
	sign := ""
	if cents < 0 {
		sign, cents = "-", -cents
	}
	return fmt.Sprintf("%s%d.%02d", sign, cents/centsPerUnit, cents%centsPerUnit)
}

func parseCents(text string) (int64, error) {
	amount, ok := new(big.Rat).SetString(text)
	if !ok {
		return 0, fmt.Errorf("%q is not an amount", text)
	}
	amount.Mul(amount, big.NewRat(centsPerUnit, 1))
	if !amount.IsInt() || !amount.Num().IsInt64() {
		return 0, fmt.Errorf("%q is not an amount in cents", text)
	}
	return amount.Num().Int64(), nil
}

// toFloat converts a value of a numeric column to the unit of aggregates: units of currency for amounts.
func toFloat(column string, value any) float64 {
	n := float64(value.(int64))
	if column == columnAmount {
		return n / centsPerUnit
	}
	return n
}
