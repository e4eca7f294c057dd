// Package simbridge connects balancers to the simulator: it decodes the events in the simulator's batches, passes each to
// the balancer of its instance, and encodes the resulting actions. It only converts names and units; every decision is
// made by package balancer.
//
// A batch consists of its length in four bytes, the clock in milliseconds, the number of records, and the records. A
// record consists of a one-byte code, its length in four bytes, and its fields. The reply to a batch has the same form
// without the clock. A length counts the bytes that follow it. All numbers are big endian.
package simbridge
