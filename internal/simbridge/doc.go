// Package simbridge connects balancers to the simulator: it decodes the events in the simulator's batches, hands them to
// the balancer of their instance, and encodes the resulting actions. It converts names and units and decides nothing.
//
// A batch is its length in four bytes, the clock in milliseconds, the number of records and the records. A record is a
// code, its length in four bytes and its fields. The reply to a batch has the same form without a clock. All numbers are
// big endian.
package simbridge
