package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// A frame is a header of 12 bytes (mark, payload length, CRC32C of length
// and payload, all big endian) and a CBOR payload. Every frame is synced
// before the next is written, so a valid frame after a damaged one proves
// that the damage is not a torn write.
const (
	frameMark   = 0x4a4a5457
	frameHeader = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// batch is the payload of one frame of the log. Entries replace earlier
// entries of their index and later.
type batch struct {
	Hard quorum.HardState
	// Reset drops all entries before this frame.
	Reset   bool
	Entries []quorum.Entry
}

var decoding = func() cbor.DecMode {
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
	frame := make([]byte, frameHeader, frameHeader+len(body))
	binary.BigEndian.PutUint32(frame, frameMark)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(body)))
	frame = append(frame, body...)
	binary.BigEndian.PutUint32(frame[8:], checksum(frame))
	return frame, nil
}

func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[4:8], castagnoli), castagnoli, frame[frameHeader:])
}

// readFrame returns the payload of the frame at the start of data and the
// size of the frame, or false if there is no whole, undamaged frame.
func readFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < frameHeader || binary.BigEndian.Uint32(data) != frameMark {
		return nil, 0, false
	}
	n := int(binary.BigEndian.Uint32(data[4:]))
	if n > maxFrameBytes || n > len(data)-frameHeader {
		return nil, 0, false
	}
	frame := data[:frameHeader+n]
	if checksum(frame) != binary.BigEndian.Uint32(frame[8:]) {
		return nil, 0, false
	}
	return frame[frameHeader:], len(frame), true
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
