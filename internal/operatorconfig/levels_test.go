package operatorconfig

import (
	"reflect"
	"strings"
	"testing"

	"oxbowspan/degradation"
)

func TestLevels(t *testing.T) {
	f, err := load(t, "[levels]\nsocket = s.sock\nexit_for = 3s\n"+
		"[level trimmed]\nenter = lost 0.2 load 0.9\nexit = lost 0.1\nshare = report 0.5\nretry_after = 2s\nmerge = 0.5\n"+
		"[level closed]\nenter = lost 0.9\nshare = lookup 0\n")
	if err != nil {
		t.Fatal(err)
	}
	config, err := f.Levels.ConfigFor([]string{"lookup", "report"})
	if err != nil {
		t.Fatal(err)
	}
	want := []degradation.Level{
		{Name: "full", Policy: degradation.Policy{ServedShares: []float64{1, 1}, MergeShare: 1}},
		{Name: "trimmed",
			Conditions: []degradation.Condition{
				{Signal: degradation.LostCapacity, Enter: 0.2, Exit: 0.1},
				{Signal: degradation.LoadRatio, Enter: 0.9, Exit: 0.9 * defaultExitRatio}},
			Policy: degradation.Policy{ServedShares: []float64{1, 0.5}, MergeShare: 0.5, RetryAfter: 2000}},
		{Name: "closed", Conditions: []degradation.Condition{{Signal: degradation.LostCapacity, Enter: 0.9, Exit: 0.9 * defaultExitRatio}},
			Policy: degradation.Policy{ServedShares: []float64{0, 0.5}, MergeShare: 1, RetryAfter: 1000}},
	}
	if !reflect.DeepEqual(config.Levels, want) || config.ExitAfter != 3000 {
		t.Errorf("configuration %+v, want the levels %+v", config, want)
	}
	_, err = f.Levels.ConfigFor([]string{"lookup"})
	if err == nil || !strings.Contains(err.Error(), ":4: [level trimmed] share: report is no query type") {
		t.Errorf("unknown query type: %v", err)
	}
}

func TestLoadRejectsInvalidLevels(t *testing.T) {
	for text, want := range map[string]string{
		"[level a]\nenter = lost 0.2\n":                                                  "needs a section [levels]",
		"[levels]\n":                                                                     "needs a section [level NAME]",
		"[levels]\n[level a]\nenter = rain 0.2\n":                                        `:3: [level a] enter: "rain" is no signal`,
		"[levels]\n[level a]\nenter = lost\n":                                            "is not NAME NUMBER",
		"[levels]\n[level a]\nenter = lost much\n":                                       "is not a number from 0 up",
		"[levels]\n[level a]\nenter = lost 0.2\nexit = lost 0.3\n":                       "not under the 0.2",
		"[levels]\n[level a]\nenter = lost 0.2\nexit = load 0.3\n":                       "does not enter this level",
		"[levels]\n[level a]\nenter = lost 0.2\nshare = x 2\n":                           "not from 0 to 1",
		"[levels]\n[level a]\nenter = lost 0.2\nmerge = 2\n":                             "merge",
		"[levels]\nups = 0\n[level a]\nenter = lost 0.2\nstrange = 1\n":                  "strange: is not known here",
		"[levels]\n[level full]\nenter = lost 0.2\n":                                     "level full is there twice",
		"[levels]\nsocket = s\n[level a]\nenter = lost 0.2\n[level b]\nshare = lookup 0": "it has no condition",
	} {
		t.Run(want, func(t *testing.T) { expectProblem(t, text, want) })
	}
}
