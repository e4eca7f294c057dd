// Command rig2 starts the project's programs on loopback with stand-ins around them and checks one promise per case. It
// belongs to the review and is built by review/build-2.sh.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings example of DEPLOY.md.
const (
	graceS       = 6
	configApply  = 3 * time.Second
	drainLimit   = 3 * time.Second
	contact      = 4 * time.Second
	beatInterval = 1200 * time.Millisecond
)

const (
	controlPort   = 8729
	frontPort     = 8726
	readinessPort = 8723
	internalFirst = 7120
	internalLast  = 7135
	serverPort    = 8080
)

// cluster is a small deployment: controllers, gateways and what surrounds them. Each machine has a loopback address of its own.
type cluster struct {
	dir         string
	bin         string
	subnet      string // first two octets
	controllers []*process
	gateways    []*process
	record      *record
	client      *http.Client
	seeds       []string
	firstStart  bool
	tolerated   string // machines whose loss is tolerated
	extraTries  string // budget_extra_tries
}

// process is one machine with one process.
type process struct {
	c       *cluster
	name    string
	ip      string
	zone    string
	gateway bool
	cmd     *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func newCluster(rec *record, controllers, gateways int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	bin := os.Getenv("BIN")
	if bin == "" {
		bin = "target"
	}
	c := &cluster{dir: dir, bin: bin, record: rec, firstStart: true, tolerated: "1", extraTries: "54",
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d", 16+rand.IntN(230))
		// The listener reserves the addresses for as long as this process runs.
		if _, err := net.Listen("tcp", c.subnet+".254.254:9999"); err == nil && free(fmt.Sprintf("%s.1.1:%d", c.subnet, controlPort)) {
			break
		}
	}
	for i := range controllers {
		p := &process{c: c, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.1.%d", c.subnet, i+1), zone: "z" + string(rune('a'+i%3))}
		c.controllers = append(c.controllers, p)
		if i < 3 {
			c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", p.ip, controlPort))
		}
	}
	for i := range gateways {
		c.gateways = append(c.gateways, &process{c: c, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.2.%d", c.subnet, i+1), zone: "za", gateway: true})
	}
	return c, nil
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// settings is the settings file of a machine, in the form of DEPLOY.md.
func (p *process) settings() string {
	var b bytes.Buffer
	class, serves, role := "core_tier", "control_tier", "controller"
	if p.gateway {
		class, serves, role = "front_tier", "front_tier", "gateway"
	}
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]\nip_address = %q\nzone = %q\nregion = \"r\"\n", p.name, role, class, serves, p.ip, p.zone)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseed_addresses = [\"%s\"]\nfirst_start = %v\nloss_counted = %v\n", internalFirst, internalLast, strings.Join(p.c.seeds, `","`), p.c.firstStart, !p.gateway)
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry_kind = \"virtual_address\"\nbeat_interval_ms = %d\nrule_parts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\n", beatInterval.Milliseconds())
	if !p.gateway {
		fmt.Fprintf(&b, "data_directory = %q\n", p.dataDir())
	}
	fmt.Fprintf(&b, "[zones]\nza = \"r\"\nzb = \"r\"\nzc = \"r\"\n[listen_addresses]\n")
	if p.gateway {
		fmt.Fprintf(&b, "front_address = \"%s:%d\"\nreadiness_address = \"%s:%d\"\n", p.ip, frontPort, p.ip, readinessPort)
	} else {
		fmt.Fprintf(&b, "control_address = \"%s:%d\"\n", p.ip, controlPort)
	}
	fmt.Fprintf(&b, "[limits]\nprocessor_share = 0.4\ncores = 1\nmemory_mb = 284\nfile_descriptors = 4100\nlink_mbps = 1000.0\ndisk_mb = 128\n")
	fmt.Fprintf(&b, "[tolerated_losses]\nmachines = %s\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 4000\nacknowledge_ms = 5000\ncatch_up_s = 4\ndrain_limit_ms = 3000\ngrace_period_s = %d\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrevert_slack_ms = 250\nstretch_max_ms = 12000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra_tries = %s\nrecovery_s = 12\n", p.c.tolerated, graceS, p.c.extraTries)
	return b.String()
}

func (p *process) dataDir() string { return filepath.Join(p.c.dir, p.name+".data") }

func (p *process) start() error {
	path := filepath.Join(p.c.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.settings()), 0o644); err != nil {
		return err
	}
	program := "oxbowspan-control"
	if p.gateway {
		program = "oxbowspan-gateway"
	}
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.c.bin, program), "serve")
	cmd.Env = []string{"OXBOWSPAN_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + p.c.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.log = cmd, exited, log
	go func() {
		cmd.Wait()
		log.Close()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.running() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace period. It returns when the process has ended.
func (p *process) terminate() (at time.Time) {
	at = time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceS * time.Second):
		p.kill()
	}
	return at
}

func (c *cluster) all() []*process {
	return append(append([]*process{}, c.controllers...), c.gateways...)
}

func (c *cluster) start() error {
	for _, p := range c.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	c.firstStart = false
	return nil
}

func (c *cluster) stop() {
	for _, p := range c.all() {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	}
}

func (p *process) front() string     { return fmt.Sprintf("%s:%d", p.ip, frontPort) }
func (p *process) readiness() string { return fmt.Sprintf("%s:%d", p.ip, readinessPort) }
func (p *process) control() string   { return fmt.Sprintf("%s:%d", p.ip, controlPort) }

// ready asks the readiness address as the platform does.
func (p *process) ready() bool {
	resp, err := p.c.client.Get("http://" + p.readiness() + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) waitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range c.gateways {
			if g.ready() {
				ready++
			}
		}
		if ready == len(c.gateways) {
			return true
		}
	}
	return false
}

// post sends one call to a controller.
func (c *cluster) post(to *process, path string, header map[string]string, body string) (status int, answer string, err error) {
	req, _ := http.NewRequest("POST", "http://"+to.control()+path, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// configure sends a configuration as the operator does: to one controller after another, until it has a clear answer.
func (c *cluster) configure(version, basedOn int, body string) (status int, at time.Time) {
	for try := 0; try < 40; try++ {
		to := c.controllers[rand.IntN(len(c.controllers))]
		status, answer, err := c.post(to, "/-/configuration/replace", map[string]string{"X-Based-On-Version": fmt.Sprint(basedOn)}, body)
		c.record.logf("operator: version %d on %d to %s: %d %v %s", version, basedOn, to.name, status, err, strings.TrimSpace(answer))
		if err == nil && (status == 200 || status == 400 || status == 409 || status == 412) {
			return status, time.Now()
		}
		time.Sleep(time.Duration(100+50*try) * time.Millisecond)
	}
	return 0, time.Now()
}
