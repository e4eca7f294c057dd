// Command rig plays the scripts of review/: it starts the project's controllers and gateways as separate processes on
// loopback addresses, with stand-ins for servers, clients, the operator and the platform around them.
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

// The bounds of a small deployment, as the pages state them.
const (
	contact       = 4000 * time.Millisecond
	drainLimit    = 3000 * time.Millisecond
	configApply   = 3000 * time.Millisecond
	beatInterval  = 1200 * time.Millisecond
	gracePeriod   = 6 * time.Second
	trafficStarts = 10 * time.Second // after the machines
)

// recorder writes record.txt. Times are seconds since its start.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	out, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &recorder{out: out, start: time.Now()}
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

var record *recorder

// cannotRun ends the case with status 2.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if record != nil {
		record.printf("the case could not run: "+format, args...)
	}
	stopAll()
	os.Exit(2)
}

// node is one process of the system.
type node struct {
	name, ip, boot, run, data string
	args                      []string
	cmd                       *exec.Cmd
	ended                     chan struct{}
	expected                  bool // its end was brought about by the case
	mu                        sync.Mutex
}

var (
	nodesMu sync.Mutex
	nodes   []*node
	folder  string // temporary folder
)

// deployment is three controllers and some gateways, a zone each.
type deployment struct {
	root        string
	controllers []*node
	gateways    []*node
	controlPort int
	frontPort   int
	readyPort   int
	internal    int
	subnet      int
}

func (d *deployment) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.controllers[i].ip, d.controlPort)
}
func (d *deployment) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.gateways[i].ip, d.frontPort)
}

func newDeployment(root string, gateways int) *deployment {
	d := &deployment{root: root}
	var err error
	if folder, err = os.MkdirTemp("", "review-"); err != nil {
		cannotRun("%v", err)
	}
	for try := 0; ; try++ {
		d.subnet = 20 + rand.IntN(200)
		d.controlPort = 20000 + rand.IntN(20)*500
		d.frontPort, d.readyPort, d.internal = d.controlPort+1, d.controlPort+2, d.controlPort+10
		if d.free() {
			break
		}
		if try == 50 {
			cannotRun("no free ports")
		}
	}
	for i := range 3 {
		d.controllers = append(d.controllers, d.newNode(i, fmt.Sprintf("core_tier-%c-1", 'a'+i), "target/oxbowspan-control", true))
	}
	for i := range gateways {
		d.gateways = append(d.gateways, d.newNode(i, fmt.Sprintf("front_tier-%c-1", 'a'+i), "target/oxbowspan-gateway", false))
	}
	return d
}

func (d *deployment) ip(core bool, i int) string {
	if core {
		return fmt.Sprintf("127.%d.1.%d", d.subnet, i+1)
	}
	return fmt.Sprintf("127.%d.2.%d", d.subnet, i+1)
}

func (d *deployment) free() bool {
	for _, core := range []bool{true, false} {
		for i := range 3 {
			for _, port := range []int{d.controlPort, d.frontPort, d.readyPort, d.internal, d.internal + 1, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(core, i), port))
				if err != nil {
					return false
				}
				l.Close()
			}
		}
	}
	return true
}

func (d *deployment) newNode(i int, name, program string, core bool) *node {
	n := &node{name: name, ip: d.ip(core, i), boot: filepath.Join(folder, name+".toml"), run: filepath.Join(d.root, program), args: []string{"serve"}}
	if core {
		n.data = filepath.Join(folder, name)
		os.MkdirAll(n.data, 0o755)
	}
	nodesMu.Lock()
	nodes = append(nodes, n)
	nodesMu.Unlock()
	d.writeBoot(n, i, core, true)
	return n
}

// writeBoot writes the settings file of a process, as the pages show it.
func (d *deployment) writeBoot(n *node, i int, core, firstStart bool) {
	var seeds []string
	for k := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.ip(true, k), d.controlPort)))
	}
	class, serves, listen, share, memory, fds, disk := "front_tier", "front_tier", "", 0.4, 284, 4100, 0
	if core {
		class, serves, share, memory, fds, disk = "core_tier", "control_tier", 0.96, 280, 4096, 128
		listen = fmt.Sprintf("control_address = \"%s:%d\"\n", n.ip, d.controlPort)
	} else {
		listen = fmt.Sprintf("front_address = \"%s:%d\"\nreadiness_address = \"%s:%d\"\n", n.ip, d.frontPort, n.ip, d.readyPort)
	}
	text := fmt.Sprintf("node_name = %q\nrole = \"r\"\nmachine_class = %q\nserves = [%q]\nip_address = %q\nzone = \"hall-%c\"\nregion = \"naju\"\n",
		n.name, class, serves, n.ip, 'a'+i)
	text += fmt.Sprintf("internal_ports = [%d,%d]\nseed_addresses = [%s]\nfirst_start = %t\nloss_counted = %t\n", d.internal, d.internal+15, strings.Join(seeds, ","), firstStart, core)
	text += "discovery = \"registry\"\nentry_kind = \"virtual_address\"\nbeat_interval_ms = 1200\nrule_parts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\n"
	if core {
		text += fmt.Sprintf("data_directory = %q\n", n.data)
	}
	text += "[zones]\nhall-a = \"naju\"\nhall-b = \"naju\"\nhall-c = \"naju\"\n[listen_addresses]\n" + listen
	text += fmt.Sprintf("[limits]\nprocessor_share = %v\ncores = 1\nmemory_mb = %d\nfile_descriptors = %d\nlink_mbps = 1000.0\ndisk_mb = %d\n", share, memory, fds, disk)
	text += "[tolerated_losses]\nmachines = 1\nzones = 0\nregions = 0\n"
	text += "[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 4000\nacknowledge_ms = 5000\ncatch_up_s = 4\ndrain_limit_ms = 3000\ngrace_period_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrevert_slack_ms = 250\nstretch_max_ms = 12000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra_tries = 54\nrecovery_s = 12\n"
	if err := os.WriteFile(n.boot, []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
}

// start starts a process. The platform starts it again with first_start false.
func (d *deployment) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(n.run, n.args...)
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "OXBOWSPAN_BOOT=" + n.boot}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	n.cmd, n.ended, n.expected = cmd, make(chan struct{}), false
	ended := n.ended
	go func() {
		err := cmd.Wait()
		logFile.Close()
		n.mu.Lock()
		if !n.expected {
			record.printf("process %s ended by itself: %v", n.name, err)
		}
		n.mu.Unlock()
		close(ended)
	}()
	record.printf("platform: started %s, process %d", n.name, cmd.Process.Pid)
}

// signal sends a signal; what ends the process is expected.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.expected = true
	}
	n.cmd.Process.Signal(s)
	record.printf("platform: signal %v to %s", s, n.name)
}

// stopAll ends all processes that were started.
func stopAll() {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, n := range nodes {
		if n.cmd != nil {
			n.mu.Lock()
			n.expected = true
			n.cmd.Process.Kill()
			n.mu.Unlock()
			<-n.ended
		}
	}
	if folder != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(folder)
	}
}

// operate sends a configuration to the controllers in turn until it is acknowledged or refused.
func (d *deployment) operate(body []byte, basedOn uint64, limit time.Duration) (status int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		to := i % len(d.controllers)
		request, _ := http.NewRequest("POST", "http://"+d.controlAddress(to)+"/-/configuration/replace", bytes.NewReader(body))
		request.Header.Set("X-Based-On-Version", fmt.Sprint(basedOn))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		record.printf("operator: configuration on %d at %s: %d", basedOn, d.controllers[to].name, response.StatusCode)
		if status = response.StatusCode; status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// awaitReady waits until all gateways say that they are ready.
func (d *deployment) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for _, n := range d.gateways {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", n.ip, d.readyPort))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				cannotRun("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	record.printf("platform: all gateways are ready")
}
