package balancerconfig

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// TestPairsAndJSONAgree checks that the same settings, as the simulator's pairs and as the JSON of a configuration file, are
// converted to the same deployment.
func TestPairsAndJSONAgree(t *testing.T) {
	object := `{"classes":[{"name":"lookup","effect":"free","slo":1000.0,"hardLimit":2000,"lateWorth":0.3,"memorySpan":5000.0},
		{"name":"post","effect":"single_shot","slo":1200.5,"hardLimit":2500.0},
		{"name":"pay","effect":"guarded","slo":9,"hardLimit":10,"memorySpan":5000.0}],
		"tenants":[{"name":"city-water","quotaPerS":33.0},{"name":"gas","quotaPerS":15}],
		"domain":{"positions":3,"reach":2,"slices":9,"perCall":4,"leastShare":[1.0,0.5,1.0],"wholeAt":[1,0.9,1.0],
			"shortWorth":[0.9,0.8,0.7],"secondStep":[0,0,2],"warmKeys":true},
		"feedback":{"how":"probe","names":["waiting","cpu"]},"membershipMode":"on_request","instances":3,"tick":5.0,
		"limits":{"attemptsCap":4,"cancel":true,"secondCopies":false,"dialTimeout":250.0,"idleClose":30000.0,
			"maxStreams":32,"mostHeld":206,"retryAfter":true,"maxRetryAfter":1000.0},
		"guarantees":{"askWithin":10000.0,"budgetFree":20.0,"budgetSpan":10000.0,"cold":18000.0,"fallMultiple":4.0,
			"resendRatio":0.1,"startCapacity":0.17,"stopSendingWithin":500.0,"tipAfter":1500.0},
		"overShareWorth":0.05,"zones":["daejeon","sejong"],"odd":null,"none":[]}`
	pairs := strings.ReplaceAll(`classes.count=3 classes.0.name=lookup classes.0.effect=free classes.0.slo=1000.0
classes.0.hardLimit=2000 classes.0.lateWorth=0.3 classes.0.memorySpan=5000.0 classes.1.name=post
classes.1.effect=single_shot classes.1.slo=1200.5 classes.1.hardLimit=2500.0 classes.2.name=pay
classes.2.effect=guarded classes.2.slo=9 classes.2.hardLimit=10 classes.2.memorySpan=5000.0
tenants.count=2 tenants.0.name=city-water tenants.0.quotaPerS=33.0 tenants.1.name=gas tenants.1.quotaPerS=15
domain.positions=3 domain.reach=2 domain.slices=9 domain.perCall=4 domain.leastShare=1.0,0.5,1.0
domain.wholeAt=1,0.9,1.0 domain.shortWorth=0.9,0.8,0.7 domain.secondStep=0,0,2 domain.warmKeys=true
feedback.how=probe feedback.names=waiting,cpu membershipMode=on_request instances=3 tick=5.0
limits.attemptsCap=4 limits.cancel=true limits.secondCopies=false limits.dialTimeout=250.0 limits.idleClose=30000.0
limits.maxStreams=32 limits.mostHeld=206 limits.retryAfter=true limits.maxRetryAfter=1000.0
guarantees.askWithin=10000.0 guarantees.budgetFree=20.0 guarantees.budgetSpan=10000.0 guarantees.cold=18000.0
guarantees.fallMultiple=4.0 guarantees.resendRatio=0.1 guarantees.startCapacity=0.17
guarantees.stopSendingWithin=500.0 guarantees.tipAfter=1500.0 overShareWorth=0.05 zones=daejeon,sejong`, " ", "\n")
	a, err := FromJSON([]byte(object), 7)
	if err != nil {
		t.Fatal(err)
	}
	b, err := FromPairs(pairs, 7)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("from JSON: %+v\nfrom pairs: %+v", a, b)
	}
	if len(a.QueryTypes) != 3 || a.QueryTypes[2] != "pay" || a.MaxStreamsPerConn != 32 || a.MaxClientTimeout != 25000 ||
		a.Balancer.QueryTypes[1].MinCoverage != 0.5 {
		t.Errorf("got %+v", a)
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"empty":           {"", "not a JSON object"},
		"list":            {"[]", "not a JSON object"},
		"empty object":    {"{}", "is missing"},
		"string for list": {`{"classes":"x"}`, "is missing"},
		"nested":          {`{"tick":{"a":"b"}}`, "is missing"},
		"not a number":    {`{"instances":"many"}`, "is not a number"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := FromJSON([]byte(test.text), 0)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line that contains %q", err, test.want)
			}
		})
	}
}

func TestSettingError(t *testing.T) {
	_, err := FromPairs("instances=many", 0)
	var setting *SettingError
	if !errors.As(err, &setting) || setting.Path != "instances" {
		t.Errorf("got %v, want a SettingError with the path instances", err)
	}
}
