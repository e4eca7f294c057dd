package raftnode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os/exec"
	"slices"
	"strconv"
	"time"

	"oxbowspan/maintenance"
)

// errNoHook is the result of an order if the operator's configuration file names no hook.
var errNoHook = errors.New("there is none, so nobody carries the change out")

// unknownReleaseHookTimeout bounds the run time of a hook whose release is no longer part of the state.
const unknownReleaseHookTimeout = time.Minute

// orderKey identifies an order. The epoch alone is not sufficient: one command may start the changes of several
// members, whose orders then have the same epoch.
type orderKey struct {
	name  maintenance.MemberName
	epoch maintenance.Epoch
}

// runHooks starts the operator's hook for each order that this voter has not yet started since it became leader. A new
// leader repeats the current orders with the same epochs, because it cannot determine whether they were carried out.
func (n *Node) runHooks() {
	orders := n.log.State().Orders()
	maps.DeleteFunc(n.startedOrders, func(key orderKey, _ bool) bool {
		return !slices.ContainsFunc(orders, func(o maintenance.Order) bool { return key == orderKey{o.Name, o.Epoch} })
	})
	for _, order := range orders {
		key := orderKey{order.Name, order.Epoch}
		if n.startedOrders[key] {
			continue
		}
		n.startedOrders[key] = true
		slog.Info("fleet_order", "release", order.Release, "name", order.Name, "version", order.Version, "epoch", order.Epoch)
		n.startHook(order)
	}
}

// startHook runs the operator's hook for an order in a goroutine of its own. The hook is killed after the change
// timeout of the release.
func (n *Node) startHook(order maintenance.Order) {
	if n.options.HookPath == "" {
		n.enqueue(hookResult{order, errNoHook})
		return
	}
	timeout := unknownReleaseHookTimeout
	if r := n.log.State().Release(order.Release); r != nil {
		timeout = r.Plan.ChangeTimeout.Std()
	}
	n.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		epoch := strconv.FormatUint(uint64(order.Epoch), 10)
		err := exec.CommandContext(ctx, n.options.HookPath, string(order.Name), string(order.Version), epoch).Run()
		if n.ctx.Err() == nil {
			n.enqueue(hookResult{order, err})
		}
	})
}

// hookResult is the event that a hook has ended.
type hookResult struct {
	order maintenance.Order
	err   error
}

// handle halts the release if its hook failed.
func (h hookResult) handle(n *Node) {
	if h.err == nil {
		return
	}
	slog.Error("fleet_hook_failed", "release", h.order.Release, "name", h.order.Name, "version", h.order.Version, "error", h.err)
	halt := &maintenance.HaltRelease{ID: h.order.Release, Reason: fmt.Sprintf("the hook for %s: %v", h.order.Name, h.err)}
	n.log.Propose(maintenance.Command{HaltRelease: halt}, ignoreResult)
}
