package simbridge

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"oxbowspan/balancer"
	"oxbowspan/internal/balancerconfig"
)

// testSettings describe a deployment with one query type and one shard.
var testSettings = strings.ReplaceAll(`classes.count=1 classes.0.effect=free classes.0.slo=1000.0 classes.0.hardLimit=2000.0
classes.0.lateWorth=0.3 domain.positions=1 domain.slices=1 domain.leastShare=1.0 domain.wholeAt=1.0
limits.attemptsCap=3 limits.cancel=true instances=1 tick=5.0 unknown.key=a_b `, " ", "\n")

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// batch returns a batch with the clock at 240 ms.
func batch(records ...[]byte) []byte {
	var w replyWriter
	w.u32(0)
	w.f64(240)
	w.u32(uint32(len(records)))
	for _, r := range records {
		w.data = append(w.data, r...)
	}
	w.data[2], w.data[3] = byte((len(w.data)-4)>>8), byte(len(w.data)-4)
	return w.data
}

// hello returns the record that starts instance 3 with some settings.
func hello(settings string) []byte {
	var w replyWriter
	w.begin(8, 3)
	w.u64(99)
	w.u32(uint32(len(settings)))
	w.data = append(w.data, settings...)
	w.end()
	return w.data
}

const (
	// serverList is a record with a list of one server: id 03124a07, cell 0, ready.
	serverList = `05 0000001e 00000000 00000001 03124a07 0000 00 0000 01 3f800000 0000000000000000`
	// listUpdate is a record that refers instance 3 to serverList.
	listUpdate = `0a 00000011 00000003 0000000000000029 00000000 02`
)

const (
	// request is the record of a request: id 1, number 1, timeout 240 ms.
	request = `07 00000034 00000003 0000000000000001 00 0000 0000000000000000 406e000000000000 0000000000000000
	3f800000 bf800000 3f800000 00`
	// call is the record of the request's only call: id 2, shard 0, weight 1, size 12 ms.
	call = `07 00000034 00000003 0000000000000002 00 0000 0000000000000000 406e000000000000 4028000000000000
	3f800000 00000000 3f800000 01`
)

func serve(t *testing.T, in []byte) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(in), &out)
	return hex.EncodeToString(out.Bytes()), err
}

func TestRequestIsSentAndAnswered(t *testing.T) {
	first := batch(hello(testSettings), unhex(t, serverList), unhex(t, listUpdate), unhex(t, request), unhex(t, call))
	// The response to the call. The bytes after the last known field must be skipped.
	second := batch(unhex(t, `03 00000020 00000003 0000000000000002 03124a07 0000 4032800000000000 00 01 00 ff ff ff`))
	got, err := serve(t, append(first, second...))
	if err != nil {
		t.Fatal(err)
	}
	// The attempt's timeout is 230 ms: the client's 240 ms less two ticks of 5 ms. The answer is complete.
	send := "0b00000018" + "00000003" + "0000000000000002" + "03124a07" + "406cc00000000000"
	answer := "0000001600000001" + "090000000d" + "00000003" + "0000000000000001" + "01"
	if !strings.Contains(got, send) || !strings.HasSuffix(got, answer) {
		t.Errorf("got %s, want it to contain %s and to end with %s", got, send, answer)
	}
}

func TestActionEncoding(t *testing.T) {
	for want, a := range map[string]balancer.Action{
		"0b 00000018 00000003 0006dabb5d3a91c4 03124a07 4054000000000000": balancer.Send{Call: 0x6dabb5d3a91c4, Server: 0x3124a07, Timeout: 800},
		"0a 0000000e 00000003 0006dabb5d3a91c4 0001":                      balancer.Cancel{Call: 0x6dabb5d3a91c4, Attempt: 1},
		"01 00000014 00000003 000917a00e6f2b19 406f400000000000":          balancer.Shed{Request: 0x917a00e6f2b19, RetryAfter: 2500},
		"02 0000000c 00000003 000917a00e6f2b19":                           balancer.Fail{Request: 0x917a00e6f2b19},
		"09 0000000d 00000003 000917a00e6f2b19 00":                        balancer.Answer{Request: 0x917a00e6f2b19},
		"00 00000010 00000003 40c1684000000000 0000004d":                  balancer.SetTimer{At: 89125, Timer: 77},
		"05 00000005 00000003 01":                                         balancer.Subscribe{},
		"04 00000008 00000003 2c9011f2":                                   balancer.HealthCheck{Server: 0x2c9011f2},
	} {
		var o replyWriter
		if o.action(3, a); !bytes.Equal(o.data, unhex(t, want)) {
			t.Errorf("%#v encoded as %x, want %s", a, o.data, want)
		}
	}
}

func TestStopAndHelloInOneBatch(t *testing.T) {
	empty, stop := unhex(t, `0000000c 40c06e2000000000 00000000`), unhex(t, `06 00000004 00000003`)
	again := batch(hello(testSettings), unhex(t, serverList), unhex(t, listUpdate), stop, hello(testSettings), unhex(t, listUpdate))
	if got, err := serve(t, append(empty, again...)); err != nil || got != strings.Repeat("0000000400000000", 2) {
		t.Errorf("got %s, %v", got, err)
	}
}

func TestServerListReferenceReusedInBatch(t *testing.T) {
	other := strings.Replace(serverList, "03124a07", "000000aa", 1)
	got, err := serve(t, batch(hello(testSettings), unhex(t, serverList), unhex(t, listUpdate), unhex(t, other),
		unhex(t, strings.TrimSuffix(listUpdate, "02")+"00"), unhex(t, request), unhex(t, call)))
	if err != nil || !strings.Contains(got, "000000aa406cc0") {
		t.Errorf("got %s, %v: want an attempt at the server in the second list", got, err)
	}
}

func TestInvalidInput(t *testing.T) {
	helloReplacing := func(from, to string) []byte { return hello(strings.Replace(testSettings, from, to, 1)) }
	for want, in := range map[string][]byte{
		"truncated after 2 of 4":       {0, 0},
		"truncated after 3 bytes":      unhex(t, `0000000c 40c06e`),
		"below the 12 bytes":           unhex(t, `00000003 000000`),
		"do not fit the batch":         unhex(t, `00000011 40c06e2000000000 00000001 03 ffffffff`),
		"after the last of 0":          unhex(t, `0000000d 40c06e2000000000 00000000 00`),
		"record 2 of 4294967295":       unhex(t, `0000001c 40c06e2000000000 ffffffff 05 00000008 00000000 00000000 08 0000`),
		"has had no hello":             batch(unhex(t, listUpdate)),
		"unknown event code":           batch(hello(testSettings), unhex(t, `63 00000004 00000003`)),
		"needs 8 bytes":                batch(hello(testSettings), unhex(t, `01 00000006 00000003 0000`)),
		"server list 0 was never sent": batch(hello(testSettings), unhex(t, listUpdate)),
		"do not fit the 2 bytes":       batch(unhex(t, `05 0000000a 00000000 0fffffff 0000`)),
		"unknown outcome 7":            batch(hello(testSettings), unhex(t, `03 0000001d 00000003 0000000000000002 03124a07 0000 4032800000000000 07 01 00`)),
		"classes.0.slo is missing":     batch(helloReplacing("classes.0.slo=1000.0\n", "")),
		"effect is unknown":            batch(helloReplacing("=free", "=odd")),
		"is not a number":              batch(helloReplacing("hardLimit=2000.0", "hardLimit=x")),
		"is out of range: 1e+12":       batch(helloReplacing("classes.count=1", "classes.count=1e12")),
		"query type 1 is not among":    batch(hello(testSettings), unhex(t, strings.Replace(request, "01 00 0000", "01 01 0000", 1))),
		"shard 1, weight":              batch(hello(testSettings), unhex(t, request), unhex(t, strings.Replace(call, "3f800000 00000000", "3f800000 3f800000", 1))),
	} {
		t.Run(want, func(t *testing.T) {
			_, err := serve(t, in)
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that contains %q", err, want)
			}
		})
	}
}

func TestTimesRoundDown(t *testing.T) {
	for ms, want := range map[float64]int64{0.3: 3, 230: 2300, 17.19: 171, 0.0999: 0, 1e300: 1e15, -2.05: -21} {
		if got := balancerconfig.TimeFromMillis(ms); int64(got) != want {
			t.Errorf("%v ms converted to %d tenths of a millisecond, want %d", ms, got, want)
		}
	}
}

func FuzzServe(f *testing.F) {
	f.Add(batch(hello(testSettings)))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		if err := Serve(bytes.NewReader(in), &out); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error text has more than one line: %v", err)
		}
	})
}
