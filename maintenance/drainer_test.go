package maintenance

import "testing"

func TestDrainerRequestsThenDrains(t *testing.T) {
	h := NewDrainer(1000)
	if got := h.Begin(0); !got.RequestPermit || got.Drain {
		t.Fatalf("action after Begin: %+v", got)
	}
	if got := h.HandleReply(10, nil); got.Drain || got.RequestPermit || got.PollAt != 50 {
		t.Errorf("action after a refusal: %+v", got)
	}
	if got := h.Poll(50); !got.RequestPermit {
		t.Errorf("action at the next request: %+v", got)
	}
	if got := h.Poll(1000); !got.Drain || got.Permitted {
		t.Errorf("action after the time-out: %+v", got)
	}
	if got := h.HandleReply(1001, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("action of a drainer that drains already: %+v", got)
	}
	h = NewDrainer(1000)
	h.Begin(0)
	if got := h.HandleReply(5, &Permit{Epoch: 4}); !got.Drain || !got.Permitted {
		t.Errorf("action after a grant: %+v", got)
	}
	// Cancelled before the reply arrived: the late reply brings a permit that was returned.
	h = NewDrainer(1000)
	h.Begin(0)
	h.permit = &Permit{Epoch: 4}
	if p := h.Cancel(); p == nil || p.Epoch != 4 {
		t.Errorf("permit to return: %+v", p)
	}
	h.Begin(10)
	if got := h.HandleReply(11, &Permit{Epoch: 4}); got.Drain {
		t.Errorf("action by a returned permit: %+v", got)
	}
}
