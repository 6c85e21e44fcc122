package wire

import "github.com/jujubethread/jujubethread/pkg/ident"

// Bounds of bodies and fields. A decoder reads at most the bound plus one byte.
const (
	MaxSearchBytes = 64 << 10  // search of a caller or of an entry host
	MaxFilingBytes = 512 << 10 // filing of a caller or of an entry host
	MaxHealthBytes = 1 << 20   // health report of an upstream
	MaxErrorBytes  = 64 << 10  // LeafError
	MaxAnswerBytes = 4 << 20   // answer of one upstream
	MaxMergedBytes = 64 << 20  // answer to a caller, merged from many shards

	maxNameBytes   = 128    // index, shard and request id
	maxTermsBytes  = 8_192  // search terms
	maxDocuments   = 10_000 // documents a caller may ask for
	maxDeadline    = ident.Millis(600_000)
	maxTraceBytes  = 256
	maxShownBytes  = 64 // part of a bad value that an error message repeats
	contentType    = "application/json"
	keepBufferSize = 64 << 10 // larger buffers are left to the garbage collector
)
