package controlplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
)

// Headers of the operator API.
const (
	basedOnHeader = "X-Based-On-Version" // of a replace request: the version that is replaced; 0 = none
	versionHeader = "X-Version"          // of a response to a read: the version of the document
)

// resource is a versioned document that operators replace and read as a whole.
type resource struct {
	name         string // in paths
	maxBytes     int64  // maximum length of a body
	notFound     string // error message of a read while there is no version
	sendsVersion bool   // responses to reads have a versionHeader
	parse        func(body []byte, basedOn consensus.Version) (change, error)
	extract      func(v *consensus.Value) (body []byte, version consensus.Version, exists bool)
}

// resourceAPI is the HTTP API of one resource.
type resourceAPI struct {
	resource
	values  *valueReader
	changes *changeService
	log     zerolog.Logger
}

// replace submits a new version and answers once its outcome is decided. A change that was committed before is acknowledged again.
func (a *resourceAPI) replace(w http.ResponseWriter, r *http.Request) {
	body, basedOn, problem := readReplacement(w, r, a.maxBytes)
	if problem != nil {
		writeError(w, problem)
		return
	}
	// Whether a change is invalid by itself doesn't depend on the time, so an invalid change can't have been committed before.
	c, err := a.parse(body, basedOn)
	if err != nil {
		writeError(w, &apiError{http.StatusBadRequest, err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout(len(body)))
	defer cancel()
	start := time.Now()
	log := a.log.With().Str("resource", a.name).Uint64("version", uint64(c.version())).Logger()
	result, err := a.changes.submit(ctx, c)
	if err != nil {
		log.Warn().Dur("took", time.Since(start)).Err(err).Msg("change: not decided")
		writeError(w, errNotDecided)
		return
	}
	if problem := result.problem(c); problem != nil {
		log.Info().Uint64("based_on", uint64(basedOn)).Uint64("current", uint64(result.current)).Stringer("outcome", result.outcome).
			Msg("change: rejected")
		writeError(w, problem)
		return
	}
	log.Info().Uint64("slot", uint64(result.slot)).Dur("took", time.Since(start)).Msg("change: committed")
	writeBody(w, []byte(`{"version":`+formatVersion(c.version())+`}`))
}

// readReplacement reads the body of a replace request and the version on which it is based. A body that was truncated in transit
// doesn't determine the outcome of the change, as another copy of the request may have been committed. It is therefore answered with
// a status that lets the operator retry.
func readReplacement(w http.ResponseWriter, r *http.Request, maxBytes int64) (body []byte, basedOn consensus.Version, problem *apiError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, 0, &apiError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the document is longer than %d bytes", maxBytes)}
	case err != nil:
		return nil, 0, &apiError{http.StatusRequestTimeout, "the document did not arrive completely: send it again"}
	}
	version, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get(basedOnHeader)), 10, 64)
	if err != nil {
		return nil, 0, &apiError{http.StatusBadRequest, basedOnHeader + " is missing or not a version"}
	}
	return body, consensus.Version(version), nil
}

// read answers with the newest version that is decided at the time of the request.
func (a *resourceAPI) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	v, err := a.values.read(ctx)
	if err != nil {
		writeError(w, errNotVerified)
		return
	}
	body, version, exists := a.extract(v)
	if a.sendsVersion {
		w.Header().Set(versionHeader, formatVersion(version))
	}
	if !exists {
		writeError(w, &apiError{http.StatusNotFound, a.notFound})
		return
	}
	writeBody(w, body)
}
