package simcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// acknowledgeTime is within which the platform wants a proper order acknowledged in calm times (acknowledge_ms).
const acknowledgeTime = 5 * time.Second

// BeginRollout orders a rollout at one controller and returns the status; 0 means that there was no response.
func (c *Cluster) BeginRollout(to *ControllerNode, service, version string, duration time.Duration) int {
	client := c.httpClient(operatorIP, controlCallTimeout)
	defer client.CloseIdleConnections()
	body := fmt.Sprintf(`{"service":%q,"target_version":%q,"duration_s":%v}`, service, version, duration.Seconds())
	return post(context.Background(), client, to.ControlAddress(), "/-/rollouts/begin", []byte(body), http.Header{"Content-Type": {"application/json"}})
}

// rolloutState is what a read of a rollout returns.
type rolloutState struct {
	State         string `json:"state"`
	TargetVersion string `json:"target_version"`
}

// An order to roll a version out is acknowledged in calm times, and every controller tells its state then.
func TestRolloutIsAcknowledged(t *testing.T) {
	runCluster(t, 71, 3, 2, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		start := time.Now()
		status := 0
		for attempt := 0; status != http.StatusOK && time.Since(start) < acknowledgeTime; attempt++ {
			if status = cluster.BeginRollout(cluster.Controllers[attempt%3], singleService, "v2", 12*time.Second); status != http.StatusOK {
				time.Sleep(retryPause)
			}
		}
		requireStatus(t, status, http.StatusOK, "the order, after %v", time.Since(start))
		for _, controller := range cluster.Controllers {
			var read rolloutState
			body := readWithRetry(cluster, controller, "/-/rollouts/"+singleService+"/read")
			if err := json.Unmarshal(body, &read); err != nil || read.TargetVersion != "v2" || read.State == "" {
				t.Errorf("controller %s tells %q of the rollout", controller.IP, body)
			}
		}
	})
}
