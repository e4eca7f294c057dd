package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, from the repository's root")
		os.Exit(2)
	}
	root, _ := os.Getwd()
	trouble := os.Getenv("TROUBLE") != "0"
	record = newRecorder(filepath.Join(os.Args[2], "record.txt"))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	go func() {
		time.Sleep(115 * time.Second)
		cannotRun("it takes too long")
	}()
	cases := map[string]func(root string, trouble bool) (broken int){"sign-off": signOffCase}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("no case %q", os.Args[1])
	}
	broken := play(root, trouble)
	stopAll()
	record.printf("the rule was broken %d times", broken)
	fmt.Printf("%s: the rule was broken %d times\n", os.Args[1], broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// startCore starts the controllers and gateways. The function that it returns starts n servers of a service.
func startCore(root string, gateways int) (*deployment, func(service string, n int, work time.Duration) []*server) {
	d := newDeployment(root, gateways)
	for _, n := range append(append([]*node{}, d.controllers...), d.gateways...) {
		d.start(n)
	}
	var controls []string
	for i := range d.controllers {
		controls = append(controls, d.controlAddress(i))
	}
	return d, func(service string, n int, work time.Duration) (all []*server) {
		for i := range n {
			all = append(all, startServer(service, fmt.Sprintf("127.%d.3.%d", d.subnet, i+1), fmt.Sprintf("hall-%c", 'a'+i%3), work, controls))
		}
		return all
	}
}
