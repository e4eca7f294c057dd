// Package discovery watches the list of shard servers that the discovery service publishes over HTTP. It does not decide when
// a failed watch is retried: the caller of Watcher.Subscribe does, unless the watcher was started with resubscribe.
package discovery
