package wire

import "github.com/jujubethread/jujubethread/pkg/ident"

// Limits of bodies and fields. A decoder reads at most the limit plus one byte.
const (
	MaxSearchBytes = 64 << 10  // search from a caller or an entry host
	MaxFilingBytes = 512 << 10 // filing from a caller or an entry host
	MaxHealthBytes = 1 << 20   // health report from an upstream
	MaxErrorBytes  = 64 << 10  // LeafError
	MaxAnswerBytes = 1 << 20   // answer from one upstream
	MaxMergedBytes = 64 << 20  // answer to a caller, merged from many shards

	maxNameBytes      = 128    // index, shard or request id
	maxTermsBytes     = 8_192  // search terms
	maxDocuments      = 10_000 // documents that a search may request
	maxDeadlineMillis = ident.Millis(600_000)
	maxTraceBytes     = 256
	maxQuotedBytes    = 64 // part of an invalid value that an error message quotes
	contentType       = "application/json"
	maxPooledBytes    = 64 << 10 // larger buffers are not returned to the pool
)
