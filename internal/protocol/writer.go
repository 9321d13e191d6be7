package protocol

import (
	"bytes"
	"strconv"
)

// Lengths of a body, for AppendRequest and AppendResponse, that are not known.
const (
	Chunked    = -1 // sent in chunks
	UntilClose = -2 // the receiver can't read chunks: the body ends with the connection
)

const microsecondsPerSecond = 1e6

// hopByHopFields names the fields that concern one connection alone and are never forwarded.
var hopByHopFields = []string{"connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer",
	"upgrade", "content-length", "expect"}

// appendFields appends the end-to-end fields, without those named.
func appendFields(dst []byte, fields []Field, without ...string) []byte {
	for _, field := range fields {
		if listedInConnection(fields, field.Name) || isAnyOf(field.Name, hopByHopFields) || isAnyOf(field.Name, without) {
			continue
		}
		dst = append(dst, field.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, field.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

// isAnyOf reports whether a field's name is one of names, which are in lower case.
func isAnyOf(fieldName []byte, names []string) bool {
	for _, name := range names {
		if equalFold(fieldName, name) {
			return true
		}
	}
	return false
}

// listedInConnection reports whether the sender's Connection field names this field, which then concerns the connection alone.
func listedInConnection(fields []Field, name []byte) bool {
	for _, f := range fields {
		if !equalFold(f.Name, "connection") {
			continue
		}
		for part := range bytes.SplitSeq(f.Value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// AppendRequest appends the head with which a client's request is forwarded to a backend: method, target and
// end-to-end fields unchanged, with the time for which this node will wait.
func AppendRequest(dst []byte, head *Head, body int, expiresMs int64) []byte {
	dst = append(dst, head.Method...)
	dst = append(dst, ' ')
	dst = append(dst, head.Target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendFields(dst, head.Fields, "x-expires-in-ms")
	dst = append(dst, "X-Expires-In-Ms: "...)
	dst = strconv.AppendInt(dst, expiresMs, 10)
	dst = append(dst, "\r\n"...)
	if body != 0 || string(head.Method) != "GET" && string(head.Method) != "HEAD" {
		dst = appendLength(dst, body)
	}
	return append(dst, "\r\n"...)
}

// appendLength appends the field that gives the length of a body, which may be Chunked or UntilClose.
func appendLength(dst []byte, body int) []byte {
	switch body {
	case UntilClose:
		return dst
	case Chunked:
		return append(dst, "Transfer-Encoding: chunked\r\n"...)
	}
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(body), 10)
	return append(dst, "\r\n"...)
}

// AppendResponse appends the head of an answer to a client, with the end-to-end fields of the backend's.
func AppendResponse(dst []byte, status int, fields []Field, body int, keepAlive bool, retryAfterUs int64) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrase(status)...)
	dst = append(dst, "\r\n"...)
	dst = appendFields(dst, fields, LoadHeader, "x-never-ran")
	if retryAfterUs > 0 {
		dst = append(dst, "Retry-After: "...)
		dst = strconv.AppendFloat(dst, float64(retryAfterUs)/microsecondsPerSecond, 'f', 3, 64)
		dst = append(dst, "\r\n"...)
	}
	if !keepAlive {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = appendLength(dst, body)
	return append(dst, "\r\n"...)
}
