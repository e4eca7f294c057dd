//go:build race

package simcluster

const raceDetector = true
