//go:build !race

package colony

const raceDetector = false
