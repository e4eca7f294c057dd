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
	basedOnHeader = "X-Based-On-Version" // of a replacement: the version that it replaces, 0 = none
	versionHeader = "X-Version"          // of a document that was read
)

// resource is something that operators replace and read as a whole, and that has versions.
type resource struct {
	name         string // in paths
	maxBytes     int64
	notFound     string // answers a read while there is none
	sendsVersion bool   // a read is answered with versionHeader
	parse        func(body []byte, basedOn consensus.Version) (change, error)
	from         func(v *consensus.Value) (body []byte, version consensus.Version, exists bool)
}

// resourceAPI is the API of one resource.
type resourceAPI struct {
	resource
	values  *valueReader
	changes *changeService
	log     zerolog.Logger
}

// replace has a new version decided. A change that was committed before is acknowledged again.
func (a *resourceAPI) replace(w http.ResponseWriter, r *http.Request) {
	body, basedOn, problem := readReplacement(w, r, a.maxBytes)
	if problem != nil {
		writeError(w, problem)
		return
	}
	// A change that is invalid by itself was invalid whenever it was sent, so it can't have been committed.
	c, err := a.parse(body, basedOn)
	if err != nil {
		writeError(w, &apiError{http.StatusBadRequest, err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout(len(body)))
	defer cancel()
	began := time.Now()
	log := a.log.With().Str("resource", a.name).Uint64("version", uint64(c.version())).Logger()
	result, err := a.changes.submit(ctx, c)
	if err != nil {
		log.Warn().Dur("took", time.Since(began)).Err(err).Msg("change: not decided")
		writeError(w, errNotDecided)
		return
	}
	if problem := result.problem(c); problem != nil {
		log.Info().Uint64("based_on", uint64(basedOn)).Uint64("current", uint64(result.current)).Stringer("outcome", result.outcome).
			Msg("change: rejected")
		writeError(w, problem)
		return
	}
	log.Info().Uint64("slot", uint64(result.slot)).Dur("took", time.Since(began)).Msg("change: committed")
	writeBody(w, []byte(`{"version":`+formatVersion(c.version())+`}`))
}

// readReplacement reads the body of a replacement and the version on which it is based. A body that was cut off in transit says
// nothing of the change, another copy of which may have been committed: its status lets the operator retry.
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

// read answers with the newest version as of the request.
func (a *resourceAPI) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), consensusTimeout)
	defer cancel()
	v, err := a.values.read(ctx)
	if err != nil {
		writeError(w, errNotVerified)
		return
	}
	body, version, exists := a.from(v)
	if a.sendsVersion {
		w.Header().Set(versionHeader, formatVersion(version))
	}
	if !exists {
		writeError(w, &apiError{http.StatusNotFound, a.notFound})
		return
	}
	writeBody(w, body)
}
