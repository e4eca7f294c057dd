// Package operatorconfig reads the operator's file, in INI, which supplements the platform's configuration: it enables optional features
// and sets their limits. Validation is strict and reports all problems of the file at once, with their line numbers. Without such a file
// every optional feature is off.
package operatorconfig
