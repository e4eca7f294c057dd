package config

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
)

// ErrIncompleteJSON says that a text is not one complete JSON value.
var ErrIncompleteJSON = errors.New("not one complete JSON value")

// Parse parses a configuration. It does not check what it says: see Configuration.Validate. It returns ErrIncompleteJSON,
// wrapped, for a text that was cut off.
func Parse(text []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := parse(text, c, "configuration"); err != nil {
		return nil, err
	}
	return c, nil
}

// ParseTenants parses a document of tenants as Parse does a configuration.
func ParseTenants(text []byte) (*TenantDocument, error) {
	d := &TenantDocument{}
	if err := parse(text, d, "tenants"); err != nil {
		return nil, err
	}
	return d, nil
}

// ParsePins parses a document of pins as Parse does a configuration.
func ParsePins(text []byte) (*PinDocument, error) {
	d := &PinDocument{}
	if err := parse(text, d, "pins"); err != nil {
		return nil, err
	}
	return d, nil
}

// parse parses a text into a value. The generated parsers ignore what follows the value, so the whole text is checked first.
func parse(text []byte, into json.Unmarshaler, what string) error {
	if !json.Valid(text) {
		return eris.Wrapf(ErrIncompleteJSON, "parse %s", what)
	}
	if err := into.UnmarshalJSON(text); err != nil {
		return eris.Wrapf(err, "parse %s", what)
	}
	return nil
}
