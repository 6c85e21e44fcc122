package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"time"

	"storj.io/drpc/drpcwire"
)

const (
	// blocks is the number of blocks that are sent of what does not end.
	blocks     = 16
	blockBytes = 16 << 10

	// headReserve is left free of a head of legal size.
	headReserve = 64

	// pieces is the number of parts in which a body is sent piece by piece, pieceGap
	// the time between two.
	pieces   = 64
	pieceGap = time.Millisecond
)

// ShortLines returns at most size bytes of header lines with short names.
func ShortLines(size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b bytes.Buffer
	for i := 0; b.Len()+6 <= size; i++ {
		b.Write([]byte{letters[i%26], letters[i/26%36], ':', 'v', '\r', '\n'})
	}
	return b.Bytes()
}

// HTTP returns the shapes of HTTP messages. start is the first line with some headers,
// head the size of a legal head and body that of a legal body, in bytes.
func HTTP(start string, head, body int) []Shape {
	short := ShortLines(head - len(start) - headReserve)
	odd := bytes.Repeat([]byte("a:\n"), (head-len(start)-headReserve)/3)
	large := make([]byte, body)
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", start, body)
	chunk := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", start, body)
	return []Shape{
		{Name: "unfinished heads", Send: send(start, string(short))},
		{Name: "short lines", Send: repeat("", fmt.Sprintf("%s%s\r\n", start, short), 3)},
		{Name: "odd lines", Send: repeat("", fmt.Sprintf("%s%s\r\n", start, odd), 3)},
		{Name: "heads without end", Send: repeat(start, string(short), blocks)},
		{Name: "a line without end", Send: repeat(start[:5], string(bytes.Repeat([]byte("x"), blockBytes)), blocks)},
		{Name: "empty lines", Send: repeat("", string(bytes.Repeat([]byte("\r\n"), blockBytes/2)), blocks)},
		{Name: "whole bodies", Send: send(length, string(large))},
		{Name: "unfinished bodies", Send: send(length, string(large[1:]))},
		{Name: "bodies in pieces", Send: inPieces(length, large[1:])},
		{Name: "bodies in chunks", Send: send(chunk, string(large[1:]))},
		{Name: "nothing", Send: func(net.Conn, int) {}},
	}
}

// Frames returns the shapes of messages of package link, of some clients each and
// messages of some bytes.
func Frames(clients, size int) []Shape {
	large := frame(drpcwire.KindInvoke, 1, make([]byte, size), true)
	invoke := frame(drpcwire.KindInvoke, 1, []byte("/none"), true)
	message := frame(drpcwire.KindMessage, 2, make([]byte, size-1), true)
	part := frame(drpcwire.KindInvoke, 1, make([]byte, 1<<10), false)
	none := bytes.Repeat(frame(drpcwire.KindInvoke, 1, nil, false), blockBytes/4)
	return []Shape{
		{Name: "unfinished frames", Clients: clients, Send: send(string(large[:len(large)-1]))},
		{Name: "frames in pieces", Clients: clients, Send: inPieces("", large[:len(large)-1])},
		{Name: "many frames of a message", Clients: clients, Send: repeat("", string(part), size>>10)},
		{Name: "whole messages", Clients: clients, Send: send(string(invoke), string(message))},
		{Name: "frames without data", Send: repeat("", string(none), blocks)},
	}
}

func frame(kind drpcwire.Kind, message uint64, data []byte, done bool) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: data,
		ID: drpcwire.ID{
			Stream:  1,
			Message: message,
		},
		Kind: kind,
		Done: done,
	})
}

func send(parts ...string) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
		}
	}
}

func repeat(start, block string, times int) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		_, err := io.WriteString(c, start)
		for n := 0; n < times && err == nil; n++ {
			_, err = io.WriteString(c, block)
		}
	}
}

func inPieces(start string, b []byte) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		_, err := io.WriteString(c, start)
		for rest := b; len(rest) > 0 && err == nil; {
			var n int
			n, err = c.Write(rest[:min(len(rest), len(b)/pieces+1)])
			rest = rest[n:]
			time.Sleep(pieceGap)
		}
	}
}
