package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scenario runs a case: trouble is false for the run without the disruption.
type scenario func(rec *record, trouble bool) int

var scenarios = map[string]scenario{
	"ends":   ownEnds,
	"lock":   stalledDisk,
	"first":  firstStart,
	"memory": memoryLimit,
	"empty":  emptySuccess,
	"header": headerLimit,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO RECORD-FILE")
		os.Exit(failed)
	}
	path, _ := filepath.Abs(os.Args[2])
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	rec := &record{w: f, start: time.Now()}
	code := scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.logf("exit code %d", code)
	f.Close()
	os.Exit(code)
}
