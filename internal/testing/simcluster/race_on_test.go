//go:build race

package colony

const raceDetector = true
