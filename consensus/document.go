package consensus

import (
	"slices"
	"strings"
)

// RetainedDocumentRevisions is the maximum number of earlier revisions that a document lists.
const RetainedDocumentRevisions = 16

// Document is named data that is stored in a value alongside the configuration. It has its own version numbers: a change of
// a document does not affect the configuration, and vice versa.
type Document struct {
	Name           string
	Version        Version    // starts at 1 and increases by 1 with each change; 0 = the document does not exist
	Digest         string     // digest of Body
	Body           []byte     // content
	PriorRevisions []Revision // earlier revisions, oldest first, at most RetainedDocumentRevisions
}

// Document returns the document with the given name. If there is none, the result has version 0.
func (v *Value) Document(name string) Document {
	for _, d := range v.Documents {
		if d.Name == name {
			return d
		}
	}
	return Document{Name: name}
}

// WithDocument returns the value of the next slot with a document added or replaced. The receiver must be confirmed.
func (v *Value) WithDocument(name, digest string, body []byte) *Value {
	old := v.Document(name)
	changed := Document{
		Name:           name,
		Version:        old.Version + 1,
		Digest:         digest,
		Body:           body,
		PriorRevisions: newestRevisions(old.Revisions(), RetainedDocumentRevisions),
	}
	next := v.Confirm()
	// The documents are cloned because v is immutable.
	next.Documents = slices.DeleteFunc(slices.Clone(v.Documents), func(d Document) bool { return d.Name == name })
	next.Documents = append(next.Documents, changed)
	slices.SortFunc(next.Documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// Revisions returns the revisions that the document lists, oldest first, including its own as the last.
func (d Document) Revisions() []Revision {
	if d.Version == 0 {
		return d.PriorRevisions
	}
	own := Revision{Version: d.Version, BasedOn: d.Version - 1, Digest: d.Digest}
	return append(slices.Clone(d.PriorRevisions), own)
}

// sameRevision reports whether d and other have the same name, version and digest.
func (d Document) sameRevision(other Document) bool {
	return d.Name == other.Name && d.Version == other.Version && d.Digest == other.Digest
}
