package simcluster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Violation describes a violated guarantee of the system; the empty string means that none is violated.
type Violation string

func mixedResponse(format string, args ...any) Violation {
	return Violation("mixed response: " + fmt.Sprintf(format, args...))
}

func deniedRequest(format string, args ...any) Violation {
	return Violation("denied request: " + fmt.Sprintf(format, args...))
}

// GatheredExpectation describes the successful responses to a gathered request.
type GatheredExpectation struct {
	ServiceSets  [][]string // the gathered services of each configuration that may be active
	RecordCount  int        // records in the response of each server
	TopRecords   int        // records of the response
	MinimumShare float64    // share of the parts that must be present, 0 to 1
}

// Check checks a successful response: its parts belong to this request and to one configuration, enough of them are
// present, and the body is the merge of exactly these parts. It returns the first violation that it finds.
func (e GatheredExpectation) Check(response Response, requestID string) Violation {
	services, violation := sealedServices(response.Header.Get(partSealsHeader), requestID)
	if violation != "" {
		return violation
	}
	missing, err := strconv.Atoi(response.Header.Get(missingPartsHeader))
	if err != nil {
		return mixedResponse("%s is not a number: %v", missingPartsHeader, err)
	}
	matches := func(set []string) bool { return e.matches(set, services, missing) }
	if !slices.ContainsFunc(e.ServiceSets, matches) {
		return mixedResponse("parts of %v with %d missing do not match any configuration", services, missing)
	}
	if string(response.Body) != e.merge(services, requestID) {
		return mixedResponse("the body is not the top records of its parts")
	}
	return ""
}

// sealedServices returns the services named by the seals of a gathered response. Two seals of one service are a violation.
func sealedServices(seals, requestID string) (services []string, violation Violation) {
	for seal := range strings.SplitSeq(seals, ",") {
		fields := strings.Split(strings.TrimSpace(seal), ".")
		if len(fields) != 3 || fields[2] != requestID {
			return nil, mixedResponse("seal %q is not one of request %s", seal, requestID)
		}
		service := fields[1]
		if slices.Contains(services, service) {
			return nil, mixedResponse("two seals of service %s", service)
		}
		services = append(services, service)
	}
	return services, ""
}

// matches reports whether services and missing further ones make up a set, and whether enough of its parts are present.
func (e GatheredExpectation) matches(set, services []string, missing int) bool {
	notInSet := func(service string) bool { return !slices.Contains(set, service) }
	return len(set) == len(services)+missing &&
		float64(len(services)) >= e.MinimumShare*float64(len(set)) &&
		!slices.ContainsFunc(services, notInSet)
}

// merge returns the top records of the services' responses in descending order.
func (e GatheredExpectation) merge(services []string, requestID string) string {
	var records []string
	for _, service := range services {
		part := string(ExpectedRecords(service, requestID, e.RecordCount))
		for ; len(part) >= recordSize; part = part[recordSize:] {
			records = append(records, part[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b string) int { return strings.Compare(b, a) })
	return strings.Join(records[:min(e.TopRecords, len(records))], "")
}
