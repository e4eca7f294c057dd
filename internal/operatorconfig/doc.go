// Package operatorconfig reads the operator's own file, in INI: which optional features are on and within which limits, beyond the
// platform's configuration. It checks the file strictly and reports all problems at once, with their lines. Without such a file every
// optional feature is off.
package operatorconfig
