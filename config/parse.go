package config

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
)

// ErrIncompleteJSON is returned for a text that is not exactly one complete JSON value.
var ErrIncompleteJSON = errors.New("not one complete JSON value")

// Parse parses a configuration without validating it; see Configuration.Validate. For a truncated text it returns an error that
// wraps ErrIncompleteJSON.
func Parse(text []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := parse(text, c, "configuration"); err != nil {
		return nil, err
	}
	return c, nil
}

// ParseTenants parses a document of tenants without validating it. Its errors are those of Parse.
func ParseTenants(text []byte) (*TenantDocument, error) {
	d := &TenantDocument{}
	if err := parse(text, d, "tenants"); err != nil {
		return nil, err
	}
	return d, nil
}

// ParsePins parses a document of pins without validating it. Its errors are those of Parse.
func ParsePins(text []byte) (*PinDocument, error) {
	d := &PinDocument{}
	if err := parse(text, d, "pins"); err != nil {
		return nil, err
	}
	return d, nil
}

// parse parses a text into a value; what names the kind of document in errors. The generated parsers ignore any text after the
// value, so the syntax of the whole text is checked first.
func parse(text []byte, into json.Unmarshaler, what string) error {
	if !json.Valid(text) {
		return eris.Wrapf(ErrIncompleteJSON, "parse %s", what)
	}
	if err := into.UnmarshalJSON(text); err != nil {
		return eris.Wrapf(err, "parse %s", what)
	}
	return nil
}
