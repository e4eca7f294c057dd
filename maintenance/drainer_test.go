package maintenance

import "testing"

func TestDrainerRequestsThenDrains(t *testing.T) {
	d := NewDrainer(1000)
	if got := d.Begin(0); !got.RequestPermit || got.Drain {
		t.Fatalf("action after Begin: %+v", got)
	}
	if got := d.HandleReply(10, nil); got.Drain || got.RequestPermit || got.PollAt != 50 {
		t.Errorf("action after a refusal: %+v", got)
	}
	if got := d.Poll(50); !got.RequestPermit {
		t.Errorf("action at the next request: %+v", got)
	}
	if got := d.Poll(1000); !got.Drain || got.Permitted {
		t.Errorf("action after the timeout: %+v", got)
	}
	if got := d.HandleReply(1001, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("action of a drainer that is already draining: %+v", got)
	}
	d = NewDrainer(1000)
	d.Begin(0)
	if got := d.HandleReply(5, &Permit{Epoch: 4}); !got.Drain || !got.Permitted {
		t.Errorf("action after a grant: %+v", got)
	}
	// The shutdown was cancelled and its permit returned; a delayed reply with this permit then arrives.
	d = NewDrainer(1000)
	d.Begin(0)
	d.permit = &Permit{Epoch: 4}
	if p := d.Cancel(); p == nil || p.Epoch != 4 {
		t.Errorf("permit to return: %+v", p)
	}
	d.Begin(10)
	if got := d.HandleReply(11, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("action after a reply with a returned permit: %+v", got)
	}
}
