package maintenance

import (
	"fmt"
	"testing"
)

func TestReplayFilterAcceptsNothingTwice(t *testing.T) {
	f := NewReplayFilter(100, 4)
	passed := map[string]uint64{}
	for no := uint64(90); no < 400; no++ {
		who := fmt.Sprint("s", no%9)
		if ok, _ := f.Accept(who, no); ok {
			passed[who] = no
		}
		for who, no := range passed {
			if ok, least := f.Accept(who, no); ok || least < no {
				t.Fatalf("%s: %d was accepted twice, last %d", who, no, least)
			}
		}
		if len(f.last) > 4 {
			t.Fatalf("%d senders are kept, at most 4 may be", len(f.last))
		}
	}
	if len(passed) < 9 {
		t.Errorf("messages of only %d senders of 9 were accepted", len(passed))
	}
}
