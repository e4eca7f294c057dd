package maintenance

import (
	"fmt"
	"testing"
)

func TestReplayFilterAcceptsNothingTwice(t *testing.T) {
	f := NewReplayFilter(100, 4)
	accepted := map[string]uint64{}
	for number := uint64(90); number < 400; number++ {
		sender := fmt.Sprint("s", number%9)
		if ok, _ := f.Accept(sender, number); ok {
			accepted[sender] = number
		}
		for sender, number := range accepted {
			if ok, last := f.Accept(sender, number); ok || last < number {
				t.Fatalf("%s: %d was accepted twice, last %d", sender, number, last)
			}
		}
		if len(f.last) > 4 {
			t.Fatalf("%d senders are stored, the limit is 4", len(f.last))
		}
	}
	if len(accepted) < 9 {
		t.Errorf("messages of only %d senders of 9 were accepted", len(accepted))
	}
}
