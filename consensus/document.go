package consensus

import (
	"slices"
	"strings"
)

// RetainedDocumentRevisions is the number of earlier revisions that a document lists.
const RetainedDocumentRevisions = 16

// Document is data beside the configuration. It has versions of its own: a change of the one leaves the other as it is.
type Document struct {
	Name           string
	Version        Version    // 1 at first, rising by 1 with each change; 0 = the document does not exist
	Digest         string     // of Body
	Body           []byte     // its content
	PriorRevisions []Revision // earlier revisions, oldest first, RetainedDocumentRevisions at most
}

// Document returns the document of a name, with version 0 where there is none.
func (v *Value) Document(name string) Document {
	for _, d := range v.Documents {
		if d.Name == name {
			return d
		}
	}
	return Document{Name: name}
}

// WithDocument returns the value of the next slot with a document added or changed. The value must be confirmed.
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
	// The documents are cloned, as v must not change.
	next.Documents = slices.DeleteFunc(slices.Clone(v.Documents), func(d Document) bool { return d.Name == name })
	next.Documents = append(next.Documents, changed)
	slices.SortFunc(next.Documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// Revisions returns the revisions that the document lists, oldest first, its own last.
func (d Document) Revisions() []Revision {
	if d.Version == 0 {
		return d.PriorRevisions
	}
	own := Revision{Version: d.Version, BasedOn: d.Version - 1, Digest: d.Digest}
	return append(slices.Clone(d.PriorRevisions), own)
}

// sameRevision reports whether two documents are the same revision of one document.
func (d Document) sameRevision(other Document) bool {
	return d.Name == other.Name && d.Version == other.Version && d.Digest == other.Digest
}
