// Package discovery watches the list of shard servers that the list service publishes over HTTP. It decides nothing
// about when a failed watch is repeated: that is up to the caller of Watcher.Subscribe.
package discovery
