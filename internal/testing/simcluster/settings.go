package simcluster

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"oxbowspan/internal/settings"
)

const region = "r"

// Bounds in the settings that the tests check.
const (
	gracePeriod           = 6 * time.Second // from the signal to shut down until a process is killed
	configurationApplyMax = 3 * time.Second // from the acknowledgement of a configuration until all gateways apply it
	drainLimit            = 3 * time.Second // from the acknowledgement of a drain until the server receives no more requests
	retryBudgetWindow     = 10 * time.Second
	retryBudgetAllowance  = 54  // retries in a window in addition to the ratio
	retryBudgetRatio      = 0.2 // retries per request
)

// WriteSettings writes the settings files of all machines into the cluster's directory and returns their paths.
func (c *Cluster) WriteSettings() (controllers, gateways []string, err error) {
	for i, controller := range c.Controllers {
		path, err := c.writeSettings(fmt.Sprint("hive-", i+1), controller.settings())
		if err != nil {
			return nil, nil, err
		}
		controllers = append(controllers, path)
	}
	for i, gateway := range c.Gateways {
		path, err := c.writeSettings(fmt.Sprint("forager-", i+1), gateway.settings())
		if err != nil {
			return nil, nil, err
		}
		gateways = append(gateways, path)
	}
	return controllers, gateways, nil
}

func (c *Cluster) writeSettings(name string, s *settings.Settings) (path string, err error) {
	path = filepath.Join(c.Dir, name+".toml")
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(s); err != nil {
		return "", fmt.Errorf("encode settings %s: %w", path, err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o644); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	return path, nil
}

// settings returns the settings that the programs of all machines have in common, for the machine with an IP address.
func (c *Cluster) settings(ip string) *settings.Settings {
	s := &settings.Settings{
		NodeName:            ip,
		IPAddress:           ip,
		Zone:                zoneOf(ip),
		Region:              region,
		Zones:               map[string]string{},
		InternalPorts:       []int{internalPort, internalPort + internalPorts - 1},
		SeedAddresses:       c.seedAddresses,
		FirstStart:          c.firstStart,
		HeartbeatIntervalMS: milliseconds(c.HeartbeatInterval),
		LocalDetectionOnly:  c.LocalDetectionOnly,
	}
	for i := range zoneCount {
		s.Zones[zoneName(strconv.Itoa(c.firstZone+i))] = c.regionOf(i)
	}
	s.ToleratedLosses.Machines = c.toleratedFailures
	s.ToleratedLosses.Zones = c.toleratedZones
	s.ToleratedLosses.Regions = c.toleratedRegions
	s.Limits.FileDescriptors = c.fileDescriptors
	s.Bounds.GracePeriodS = gracePeriod.Seconds()
	s.Bounds.ConfigApplyMS = milliseconds(configurationApplyMax)
	s.Bounds.HasRetryBudget = true
	s.Bounds.RetryBudgetRatio = retryBudgetRatio
	s.Bounds.BudgetWindowS = retryBudgetWindow.Seconds()
	if !c.ZeroRetryAllowance {
		s.Bounds.BudgetExtraTries = retryBudgetAllowance
	}
	return s
}

// regionOf returns the region of a zone, given by index. If the loss of regions is tolerated, each zone is its own region.
func (c *Cluster) regionOf(zone int) string {
	if c.toleratedRegions > 0 {
		return fmt.Sprint(region, zone)
	}
	return region
}

func milliseconds(d time.Duration) float64 { return float64(d / time.Millisecond) }
