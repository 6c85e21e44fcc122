// Package synth generates the documents that the stand-in upstreams serve. The
// result of a search in a shard is a pure function of seed, shard, index
// version and terms, so a verifier can compute the expected answer without
// querying an upstream.
package synth

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	maxUniqueDocs = 5       // documents per query and shard that only this shard has
	maxSharedDocs = 3       // document ids per query that several shards can have, at different revisions
	sharedOdds    = 4       // a shard has a given shared document with probability 1/sharedOdds
	scoreSteps    = 1 << 53 // number of distinct scores; float64 represents each exactly

	maxBodySuffixBytes = 64 // capacity for the text after the shard name
)

// Documents returns the documents of a shard that match the terms at an index
// version, highest score first, at most limit of them if limit is not zero.
// Some ids occur in several shards with different revisions. Their score is the
// same everywhere, so applying the limit per shard never drops a document that
// belongs in the merged answer.
func Documents(seed uint64, shard ident.Shard, version ident.IndexVersion, terms string, limit int) []engine.Document {
	unique := int(hash(seed, "own", string(shard), terms, uint64(version)) % (maxUniqueDocs + 1))
	docs := make([]engine.Document, 0, unique+maxSharedDocs)
	termsHash := strconv.FormatUint(hash(seed, "terms", terms, "", 0)&0xffffff, 16)
	for i := range unique {
		docs = append(docs, newDocument(seed, string(shard)+":"+termsHash+":"+strconv.Itoa(i), shard, version, terms))
	}
	for i := range maxSharedDocs {
		id := "shared:" + termsHash + ":" + strconv.Itoa(i)
		if hash(seed, "holds", string(shard), id, uint64(version))%sharedOdds == 0 {
			docs = append(docs, newDocument(seed, id, shard, version, terms))
		}
	}
	Sort(docs)
	return truncate(docs, limit)
}

// Merge returns the expected answer of a query over the given shards at one
// index version: each id once, at its highest revision, highest score first,
// at most limit documents if limit is not zero.
func Merge(seed uint64, shards []ident.Shard, version ident.IndexVersion, terms string, limit int) []engine.Document {
	var all []engine.Document
	for _, shard := range shards {
		all = append(all, Documents(seed, shard, version, terms, 0)...)
	}
	slices.SortFunc(all, func(a, b engine.Document) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Revision, a.Revision))
	})
	all = slices.CompactFunc(all, func(a, b engine.Document) bool { return a.ID == b.ID })
	Sort(all)
	return truncate(all, limit)
}

// Sort orders documents by descending score, then by id.
func Sort(docs []engine.Document) {
	slices.SortFunc(docs, func(a, b engine.Document) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
}

func truncate(docs []engine.Document, limit int) []engine.Document {
	if limit > 0 && len(docs) > limit {
		return docs[:limit]
	}
	return docs
}

// newDocument returns the revision of a document id that a shard has. The
// shards of an id have different revisions; with equal ones the merged document
// would depend on the order of the answers.
func newDocument(seed uint64, id string, shard ident.Shard, version ident.IndexVersion, terms string) engine.Document {
	h := hash(seed, "body", id, string(shard)+"\x00"+terms, uint64(version))
	// fmt is too slow here: the verifier generates about 60 documents per answer.
	body := make([]byte, 0, len(shard)+maxBodySuffixBytes)
	body = append(body, shard...)
	body = append(body, ", index version "...)
	body = strconv.AppendUint(body, uint64(version), 10)
	body = append(body, ", record "...)
	body = strconv.AppendUint(body, h, 16)
	return engine.Document{
		ID:       id,
		Revision: h >> 16,
		Score:    float64(hash(seed, "score", id, "", 0)%scoreSteps) / scoreSteps,
		Body:     string(body),
	}
}

func hash(seed uint64, kind, a, b string, n uint64) uint64 {
	buf := make([]byte, 0, 128)
	buf = binary.LittleEndian.AppendUint64(buf, seed)
	buf = binary.LittleEndian.AppendUint64(buf, n)
	for _, s := range []string{kind, a, b} {
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(s)))
		buf = append(buf, s...)
	}
	return xxhash.Sum64(buf)
}
