package controlcli

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"oxbowspan/controlapi"
	"oxbowspan/internal/testing/simcluster"
)

// TestCommandsOnBuiltPrograms runs the commands on one cluster of built programs, one group after another. A configuration, tenants and pins are
// set and shown, and invalid ones are rejected. Then a controller is lost with its disk and replaced, and finally a majority is lost and the
// state is restored from an export.
func TestCommandsOnBuiltPrograms(t *testing.T) {
	p := buildPrograms(t)
	p.startAll()
	groups := []struct {
		name string
		run  func(t *testing.T, p *programs)
	}{
		{"local", runLocalCommands},
		{"config", runConfigCommands},
		{"status", runStatusCommands},
		{"tenant", runTenantCommands},
		{"judgement", runOutlierCommands},
		{"rollout", runRolloutCommands},
		{"loss of a controller", runControllerLoss},
		{"loss of a majority", runMajorityLoss},
	}
	for _, group := range groups {
		if !t.Run(group.name, func(t *testing.T) { group.run(t, p) }) {
			return // later groups depend on the state that this one leaves
		}
	}
}

func runLocalCommands(t *testing.T, p *programs) {
	p.expect(t, exitOK, "is valid", "check", "boot")
	script := "source <(" + filepath.Join(p.binaries, controllerName) + " completion)\n" +
		"COMP_WORDS=(oxbowspan-control judgement p); COMP_CWORD=2; _oxbowspan-control; echo ${COMPREPLY[*]}"
	if out, err := exec.Command("bash", "-c", script).CombinedOutput(); err != nil || strings.TrimSpace(string(out)) != "pin" {
		t.Errorf("completion of 'oxbowspan-control judgement p': %q, %v", out, err)
	}
	p.expect(t, exitUsage, "USAGE", "config")
	p.expect(t, exitUsage, "USAGE", "tenant", "set")
	p.expectArgs(t, exitFailed, "does not respond", "config", "get", "--control", "127.0.0.1:1")
}

const invalidConfiguration = `{"version":9,"routes":[
	{"name":"x","hostname":"h","path_prefix":"nope","route_kind":"never","service":"no such service"}
]}`

func runConfigCommands(t *testing.T, p *programs) {
	first := p.writeFile(t, "first.json", string(simcluster.ExampleConfiguration(1, simcluster.ExampleSharding)))
	second := p.writeFile(t, "second.json", string(simcluster.ExampleConfiguration(5, simcluster.ExampleResharding)))
	p.eventually(t, exitFailed, "none yet", "config", "get")
	p.signalSettingsChange(t) // SIGHUP must not end any program: all later commands need them
	p.expectArgs(t, exitOK, "is valid", "check", "config", first)
	p.eventually(t, exitOK, "version 1 is committed", "config", "put", first)
	p.expect(t, exitOK, "1 changes", "config", "diff", second) // the route with the other sharding
	p.expect(t, exitFailed, "version 1 is in place", "config", "put", "--based-on", "7", second)
	p.expect(t, exitOK, "version 5 is committed, based on 1", "config", "put", second)
	p.expect(t, exitFailed, "no such service", "config", "put", p.writeFile(t, "invalid.json", invalidConfiguration))
	p.expect(t, exitOK, "VERSION", "config", "history")
	p.eventually(t, exitOK, "in force on 2 gateways", "config", "explain", "h.example/all/x")
	p.eventually(t, exitOK, "404", "config", "explain", "nowhere.example/x")
	p.expect(t, exitFailed, "named by its host and path", "config", "explain", "x")
	p.expect(t, exitOK, `"version":5`, "config", "get")
}

func runRolloutCommands(t *testing.T, p *programs) {
	p.expect(t, exitFailed, "has no service", "rollout", "begin", "nowhere", "v2")
	p.expect(t, exitFailed, "no rollout of service", "rollout", "show", "one")
	p.expect(t, exitOK, "", "rollout", "begin", "one", "v2", "--within", "1h")
	p.expect(t, exitOK, "", "rollout", "begin", "one", "v2", "--within", "1h") // a repeated order succeeds
	p.expect(t, exitFailed, "is running", "rollout", "begin", "one", "v3")
	p.expect(t, exitOK, "running", "rollout", "show", "one")
	p.expect(t, exitOK, "", "rollout", "revert", "one")
	p.expect(t, exitOK, "by an operator", "rollout", "list")
	p.expect(t, exitOK, `"state": "reverted"`, "rollout", "show", "one", "--json")
	p.expect(t, exitOK, "rollout of one to v2 is reverted", "events")
}

func runStatusCommands(t *testing.T, p *programs) {
	p.eventually(t, exitOK, "i-", "servers", "once")
	p.eventually(t, exitOK, "yes", "nodes")
	p.eventually(t, exitOK, "tolerable disk losses: 1", "members")
}

func runTenantCommands(t *testing.T, p *programs) {
	tenants := p.writeFile(t, "tenants.json", `{"tenants":[{"name":"desk","weight":3,"routes":[{"hostname":"h.example","path_prefix":"/one/"}]}]}`)
	p.expect(t, exitOK, "no tenants document", "tenant", "list")
	p.expectArgs(t, exitOK, "is valid", "check", "tenants", tenants)
	p.expectArgs(t, exitFailed, "no routes", "check", "tenants", p.writeFile(t, "invalid_tenants.json", `{"tenants":[{"name":"desk"}]}`))
	p.expect(t, exitOK, "desk", "tenant", "dry-run", tenants)
	p.expect(t, exitOK, "version 1 of the tenants", "tenant", "set", tenants)
	p.eventually(t, exitOK, "tenant desk", "config", "explain", "h.example/one/x")
	if response := p.request("/one/x", "first"); response.Status != http.StatusOK {
		t.Errorf("status %d for a request, want 200", response.Status)
	}
	p.eventually(t, exitOK, "127.", "tenant", "explain")
	p.expect(t, exitOK, "desk", "tenant", "list")
}

func runOutlierCommands(t *testing.T, p *programs) {
	instance := p.allServers(t, 2*len(simcluster.ExampleServices))[0].Instance
	p.eventually(t, exitOK, "all servers are healthy", "judgement", "list")
	p.expect(t, exitFailed, "neither in, avoided nor out", "judgement", "pin", instance, "sideways")
	p.expect(t, exitOK, "version 1 of the pins", "judgement", "pin", instance, "out", "--for", "1m", "--why", "a test")
	p.eventually(t, exitOK, "pinned", "judgement", "list")
	p.eventually(t, exitOK, "pinned by an operator", "judgement", "explain", instance)
	p.expect(t, exitOK, "version 2 of the pins", "judgement", "unpin", instance)
	p.expect(t, exitFailed, "is not pinned", "judgement", "unpin", instance)
	p.eventually(t, exitOK, "all servers are healthy", "judgement", "list")
}

// runControllerLoss kills a controller, removes its data and starts it again, no longer with first_start. The membership must include all
// controllers again, and an event must list the decision of the current configuration.
func runControllerLoss(t *testing.T, p *programs) {
	const lost = 2
	killed := time.Now()
	kill(p.controllers[lost])
	p.removeData(t, lost)
	p.eventuallyEvent(t, "loss of a controller", func(e controlapi.Event) bool {
		recent := e.AgeSeconds < time.Since(killed).Seconds()
		mentionsLost := strings.Contains(e.Text, p.cluster.Controllers[lost].IP)
		return e.Kind == "hive" && recent && mentionsLost && strings.HasSuffix(e.Text, " timed out")
	})
	p.eventually(t, exitOK, "no response from", "members")
	text, err := os.ReadFile(p.settings[lost])
	if err != nil {
		t.Fatal(err)
	}
	restarted := strings.Replace(string(text), "first_start = true", "first_start = false", 1)
	started := time.Now()
	p.startController(p.writeFile(t, "restarted.toml", restarted))
	p.eventuallyEvent(t, "membership of all controllers", func(e controlapi.Event) bool {
		recent := e.AgeSeconds < time.Since(started).Seconds()
		missing := slices.ContainsFunc(p.cluster.Controllers, func(c *simcluster.ControllerNode) bool {
			return !strings.Contains(e.Text, c.IP)
		})
		return e.Kind == "members" && recent && !missing
	})
	p.poll(t, "tolerable loss at three controllers", func(output string, code int) bool {
		return code == exitOK && strings.Count(output, "tolerable disk losses: 1") == 3
	}, "members")
	if t.Failed() {
		t.FailNow()
	}
	p.eventuallyEvent(t, "decision of version 5", func(e controlapi.Event) bool {
		return e.Kind == "config" && strings.HasPrefix(e.Text, "version 5 ")
	})
}

// runMajorityLoss kills all controllers, exports the state of one, and restores it on a cluster that starts anew.
func runMajorityLoss(t *testing.T, p *programs) {
	export := filepath.Join(p.cluster.Dir, "export.json")
	p.expectArgs(t, exitFailed, "a running controller", "state", "--dir", p.dataDirectory(0), "export", export)
	p.killControllers()
	p.expectArgs(t, exitOK, "version 5 and 3 documents", "state", "--dir", p.dataDirectory(0), "export", export)
	for i := range p.cluster.Controllers {
		p.removeData(t, i)
	}
	for _, file := range p.settings {
		p.startController(file)
	}
	p.eventually(t, exitFailed, "none yet", "config", "get")
	p.expect(t, exitFailed, "is lost", "state", "restore", export)
	p.expect(t, exitOK, "the tenants document is committed", "state", "restore", export, "--lose-the-rest")
	p.expect(t, exitFailed, "only one that starts anew", "state", "restore", export)
	p.expect(t, exitOK, `"version":5`, "config", "get")
	p.expect(t, exitOK, "desk", "tenant", "list")
	p.expect(t, exitOK, "by an operator", "rollout", "list")
}
