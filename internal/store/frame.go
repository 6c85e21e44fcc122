package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// A frame is a 12-byte header (magic number, payload length, CRC32C of length
// and payload, all big endian) followed by a CBOR payload. Every frame is
// synced before the next is written, so a valid frame after a corrupt one
// proves that the corruption is not a torn write.
const (
	frameMagic       = 0x4a4a5457
	frameHeaderBytes = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the payload of one log frame. Its entries replace earlier entries
// with the same or a higher index.
type record struct {
	Hard quorum.HardState
	// Reset discards all entries of earlier frames.
	Reset   bool
	Entries []quorum.Entry
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 24,
	}.DecMode()
	if err != nil {
		panic("decoder options are constant: " + err.Error())
	}
	return mode
}()

func encodeFrame(payload any) ([]byte, error) {
	body, err := cbor.Marshal(payload)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(body)))
	frame = append(frame, body...)
	binary.BigEndian.PutUint32(frame[8:], checksum(frame))
	return frame, nil
}

func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[4:8], castagnoli), castagnoli, frame[frameHeaderBytes:])
}

// readFrame returns the payload and the total size of the frame at the start
// of data. ok is false if the frame is incomplete or corrupt.
func readFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes || binary.BigEndian.Uint32(data) != frameMagic {
		return nil, 0, false
	}
	n := int(binary.BigEndian.Uint32(data[4:]))
	if n > maxFrameBytes || n > len(data)-frameHeaderBytes {
		return nil, 0, false
	}
	frame := data[:frameHeaderBytes+n]
	if checksum(frame) != binary.BigEndian.Uint32(frame[8:]) {
		return nil, 0, false
	}
	return frame[frameHeaderBytes:], len(frame), true
}

// findFrame reports whether a valid frame starts anywhere in data.
func findFrame(data []byte) bool {
	for i := range data {
		if _, _, ok := readFrame(data[i:]); ok {
			return true
		}
	}
	return false
}
