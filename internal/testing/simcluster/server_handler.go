package simcluster

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const healthPath = "/health"

// A record is a score and a payload of eight bytes each, both big-endian.
const (
	recordSize     = 16
	distinctScores = 50 // few, so that equal scores occur
	recordStream   = 7  // second word of the seed of the random numbers
)

// responseFault is a fault injected into a response.
type responseFault int

const (
	noFault              responseFault = iota
	faultTruncated                     // the connection ends in the middle of the body
	faultStatus                        // status 500
	faultMismatchedReply               // the response names another request
)

// mismatchedRequestID is the request id in a response with faultMismatchedReply.
const mismatchedRequestID = "another"

// ExpectedRecords returns the body of the response of any server of a service to a request. It depends on its arguments only.
func ExpectedRecords(service, requestID string, count int) []byte {
	hash := fnv.New64a()
	hash.Write([]byte(service + "/" + requestID))
	random := rand.New(rand.NewPCG(hash.Sum64(), recordStream))
	records := make([]byte, 0, recordSize*count)
	for range count {
		records = binary.BigEndian.AppendUint64(records, random.Uint64N(distinctScores))
		records = binary.BigEndian.AppendUint64(records, random.Uint64())
	}
	return records
}

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	isHealthCheck, arrivedAt := r.URL.Path == healthPath, time.Now()
	instance, semaphore := s.admit(r, isHealthCheck)
	if expected := r.Header.Get(expectedInstanceHeader); expected != "" && expected != instance {
		w.Header().Set(instanceHeader, instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case semaphore <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-semaphore }()
	if isHealthCheck {
		s.serveHealthCheck(w, instance)
		return
	}
	s.notifyArrival(r.Header.Get(attemptIDHeader), arrivedAt)
	s.serveRecords(w, r, instance)
}

// admit records the arrival of a request and returns the current instance and its semaphore.
func (s *Server) admit(r *http.Request, isHealthCheck bool) (instance string, semaphore chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isHealthCheck {
		s.lastRequestAt = time.Now()
		if s.onRequest != nil {
			s.onRequest(s.lastRequestAt)
		}
		s.cluster.RequestLog.recordArrival(s.Service, r.Header.Get(attemptIDHeader))
	}
	return s.Instance, s.semaphore
}

// notifyArrival calls the function of SetOnArrival.
func (s *Server) notifyArrival(id string, at time.Time) {
	s.mu.Lock()
	onArrival := s.onArrival
	s.mu.Unlock()
	if onArrival != nil {
		onArrival(id, at)
	}
}

func (s *Server) serveHealthCheck(w http.ResponseWriter, instance string) {
	s.mu.Lock()
	draining := s.draining
	s.healthChecks++
	s.mu.Unlock()
	w.Header().Set(instanceHeader, instance)
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) serveRecords(w http.ResponseWriter, r *http.Request, instance string) {
	if s.hung.Load() {
		<-r.Context().Done()
		return
	}
	requestID := r.Header.Get(attemptIDHeader)
	s.cluster.RequestLog.recordExecution(s.Service, requestID)
	s.mu.Lock()
	serviceTime, injectFault := s.ServiceTime, s.injectFault
	s.mu.Unlock()
	time.Sleep(serviceTime)
	body := ExpectedRecords(s.Service, requestID, s.RecordCount)
	w.Header().Set(attemptIDHeader, requestID)
	w.Header().Set(serverSealHeader, seal(instance, s.Service, requestID))
	fault := noFault
	if injectFault != nil {
		fault = injectFault()
	}
	switch fault {
	case faultTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case faultStatus:
		w.WriteHeader(http.StatusInternalServerError)
	case faultMismatchedReply:
		w.Header().Set(attemptIDHeader, mismatchedRequestID)
	}
	w.Write(body)
}

// seal returns the value of the seal header, which identifies the instance that executed a request.
func seal(instance, service, requestID string) string {
	return instance + "." + service + "." + requestID
}
