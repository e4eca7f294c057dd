package simcluster

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/config"
)

// Maximum lengths of bodies that controllers accept.
const (
	maxConfigurationBytes = 8 << 20
	maxDocumentBytes      = 256 << 10
)

// padded returns a JSON document of the given length with the same contents.
func padded(document []byte, length int) []byte {
	spaces := bytes.Repeat([]byte{' '}, length-len(document))
	return append(append(bytes.Clone(document[:len(document)-1]), spaces...), '}')
}

// A configuration and documents near their limits were committed, but all of them together exceeded a frame's limit: a controller without a
// disk and a gateway that started afterwards never got them. Longer ones are refused and change nothing.
func TestBodiesOfMaximumSizeReachEveryone(t *testing.T) {
	runCluster(t, 95, 3, 2, func(t *testing.T, cluster *Cluster) {
		gateway := cluster.Gateways[1]
		gateway.Shutdown()
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		tenants := []byte(`{"tenants":[{"name":"t","floor":1,"routes":[{"hostname":"` + exampleHost + `","path_prefix":"/one/"}]}]}`)
		pins := []byte(`{"pins":[]}`)
		to := cluster.Controllers[0]
		for _, document := range []struct {
			name string
			body []byte
		}{{config.TenantsDocumentName, tenants}, {config.PinsDocumentName, pins}} {
			status := cluster.ReplaceDocument(to, document.name, 0, padded(document.body, maxDocumentBytes+1))
			expectStatus(t, status, http.StatusRequestEntityTooLarge, "%s above the limit", document.name)
			status = cluster.ReplaceDocument(to, document.name, 0, padded(document.body, maxDocumentBytes))
			requireStatus(t, status, http.StatusOK, "%s at the limit", document.name)
		}
		for i, length := range []int{maxConfigurationBytes + 1, maxConfigurationBytes - 1, maxConfigurationBytes} {
			version := uint64(max(i, 1) + 1)
			body := padded(ExampleConfiguration(version, ExampleSharding), length)
			status := replaceWithRetry(cluster, version-1, body, 5)
			if length > maxConfigurationBytes {
				expectStatus(t, status, http.StatusRequestEntityTooLarge, "configuration above the limit")
				continue
			}
			requireStatus(t, status, http.StatusOK, "configuration of %d bytes", length)
		}
		awaitReplicated(t, cluster, 3, 2*catchUpTime)
		lost := cluster.Controllers[2]
		lost.Kill(true)
		lost.WipeDisk()
		requireNoError(t, lost.Start())
		awaitReplicated(t, cluster, 3, 4*catchUpTime)
		gateway.Start()
		time.Sleep(catchUpTime)
		for i, gateway := range cluster.Gateways {
			if version := gateway.Gateway.ActiveVersion(); version != 3 {
				t.Errorf("gateway %d applies version %d, want 3", i, version)
			}
			response := sendSingle(cluster, gateway, fmt.Sprint("s", i))
			expectStatus(t, response.Status, http.StatusOK, "request through gateway %d", i)
		}
	})
}
