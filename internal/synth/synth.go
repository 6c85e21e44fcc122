// Package synth defines the documents that the stand-in upstreams hold. What
// a shard answers is a function of seed, shard, version and terms alone, so a
// verifier can compute the right answer without asking an upstream.
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
	maxOwn     = 5 // documents that only one shard holds, at most
	sharedIDs  = 3 // documents that several shards hold at different revisions
	sharedOdds = 4 // a shard holds a shared document with odds of 1 to this
	scoreBits  = 1 << 53

	maxBodyTail = 64 // bytes of a body after the name of its shard
)

// Documents returns what a shard answers to the terms at a version, best
// score first, cut to limit if limit is not zero. Some ids occur in several
// shards with different revisions but one score, so that a cut in each shard
// never removes a document that belongs to the merged answer.
func Documents(seed uint64, shard ident.Shard, version ident.IndexVersion, terms string, limit int) []engine.Document {
	own := int(hash(seed, "own", string(shard), terms, uint64(version)) % (maxOwn + 1))
	docs := make([]engine.Document, 0, own+sharedIDs)
	query := strconv.FormatUint(hash(seed, "terms", terms, "", 0)&0xffffff, 16)
	for i := range own {
		docs = append(docs, document(seed, string(shard)+":"+query+":"+strconv.Itoa(i), shard, version, terms))
	}
	for i := range sharedIDs {
		id := "shared:" + query + ":" + strconv.Itoa(i)
		if hash(seed, "holds", string(shard), id, uint64(version))%sharedOdds == 0 {
			docs = append(docs, document(seed, id, shard, version, terms))
		}
	}
	Sort(docs)
	return cut(docs, limit)
}

// Merge returns what a query at one version must answer from the given shards:
// each id once, with its highest revision.
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
	return cut(all, limit)
}

// Sort orders documents by falling score, then by id.
func Sort(docs []engine.Document) {
	slices.SortFunc(docs, func(a, b engine.Document) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
}

func cut(docs []engine.Document, limit int) []engine.Document {
	if limit > 0 && len(docs) > limit {
		return docs[:limit]
	}
	return docs
}

// document makes the revision of an id that a shard holds. Revisions of one id
// differ between shards, or the merged document would depend on the order of
// answers.
func document(seed uint64, id string, shard ident.Shard, version ident.IndexVersion, terms string) engine.Document {
	h := hash(seed, "body", id, string(shard)+"\x00"+terms, uint64(version))
	// Not fmt: the verifier makes some 60 documents for each answer.
	body := make([]byte, 0, len(shard)+maxBodyTail)
	body = append(body, shard...)
	body = append(body, ", index version "...)
	body = strconv.AppendUint(body, uint64(version), 10)
	body = append(body, ", record "...)
	body = strconv.AppendUint(body, h, 16)
	return engine.Document{
		ID:       id,
		Revision: h >> 16,
		Score:    float64(hash(seed, "score", id, "", 0)%scoreBits) / scoreBits,
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
