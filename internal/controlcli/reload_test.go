package controlcli

import (
	"net/http"
	"os"
	"regexp"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// seedLine matches the seed addresses in a settings file.
var seedLine = regexp.MustCompile(`(?m)^seed_addresses = .*$`)

// A gateway none of whose known controllers exists any more never found the others, although its settings file named them: the file was read
// only once. A file that is unreadable, or has invalid values or no seeds, must change nothing.
func TestGatewayTakesSeedsFromChangedSettings(t *testing.T) {
	const deadSeeds, noSeeds, invalidPorts = `seed_addresses = ["127.255.255.254:9"]`, `seed_addresses = []`, `seed_addresses = "x"`
	p := buildPrograms(t)
	_, gateways, err := p.cluster.WriteSettings()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(gateways[0])
	if err != nil {
		t.Fatal(err)
	}
	write := func(contents []byte) {
		t.Helper()
		if err := os.WriteFile(gateways[0], contents, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	withSeeds := func(line string) []byte { return seedLine.ReplaceAll(text, []byte(line)) }
	p.startAll()
	kill(p.gateways[0])
	write(withSeeds(deadSeeds))
	gateway := p.start(gatewayName, gateways[0])
	body := simcluster.ExampleConfiguration(1, simcluster.ExampleSharding)
	await(t, "committed a configuration", func() bool {
		return p.cluster.ReplaceConfiguration(p.cluster.Controllers[0], 0, body) == http.StatusOK
	})
	served := func() bool {
		response := p.cluster.SendRequest(p.cluster.Gateways[0], http.MethodGet, "h.example", "/one/x", "r", time.Second)
		return response.Status == http.StatusOK
	}
	time.Sleep(2 * time.Second)
	if served() {
		t.Fatal("a gateway without a controller serves requests")
	}
	reload := func() {
		t.Helper()
		if err := gateway.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	reload()
	await(t, "served a request after the settings had named the controllers", served)
	for _, contents := range [][]byte{[]byte("}"), withSeeds(invalidPorts), withSeeds(noSeeds), nil} {
		write(contents)
		reload()
		time.Sleep(200 * time.Millisecond)
		if !served() {
			t.Errorf("the gateway serves no requests after its settings file became %.20q", contents)
		}
	}
}
