package protocol

import (
	"bytes"
	"strconv"
)

// Values for the body length of AppendRequest and AppendResponse when the length is not known.
const (
	Chunked    = -1 // the body is sent with chunked framing
	UntilClose = -2 // the receiver does not support chunked framing: the body ends with the connection
)

const microsecondsPerSecond = 1e6

// hopByHopFields are the names of the fields that concern a single connection or its framing and are never forwarded.
var hopByHopFields = []string{"connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer",
	"upgrade", "content-length", "expect"}

// appendFields appends the end-to-end fields, except for those named in excluded.
func appendFields(dst []byte, fields []Field, excluded ...string) []byte {
	for _, field := range fields {
		if listedInConnection(fields, field.Name) || isAnyOf(field.Name, hopByHopFields) || isAnyOf(field.Name, excluded) {
			continue
		}
		dst = append(dst, field.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, field.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

// isAnyOf reports whether fieldName, in any case, is one of names, which are in lower case.
func isAnyOf(fieldName []byte, names []string) bool {
	for _, name := range names {
		if equalFold(fieldName, name) {
			return true
		}
	}
	return false
}

// listedInConnection reports whether a Connection field among fields lists the field with the given name, which then
// concerns this connection alone (RFC 9110, 7.6.1).
func listedInConnection(fields []Field, name []byte) bool {
	for _, field := range fields {
		if !equalFold(field.Name, "connection") {
			continue
		}
		for part := range bytes.SplitSeq(field.Value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// AppendRequest appends the head of a client's request as it is forwarded to a backend: method, target and end-to-end
// fields are unchanged, but X-Expires-In-Ms gives the time for which this node waits for the response.
func AppendRequest(dst []byte, head *Head, bodyLength int, expiresMs int64) []byte {
	dst = append(dst, head.Method...)
	dst = append(dst, ' ')
	dst = append(dst, head.Target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendFields(dst, head.Fields, "x-expires-in-ms")
	dst = append(dst, "X-Expires-In-Ms: "...)
	dst = strconv.AppendInt(dst, expiresMs, 10)
	dst = append(dst, "\r\n"...)
	if bodyLength != 0 || string(head.Method) != "GET" && string(head.Method) != "HEAD" {
		dst = appendLength(dst, bodyLength)
	}
	return append(dst, "\r\n"...)
}

// appendLength appends the header field that gives the length of a body. It appends none if the length is UntilClose.
func appendLength(dst []byte, bodyLength int) []byte {
	switch bodyLength {
	case UntilClose:
		return dst
	case Chunked:
		return append(dst, "Transfer-Encoding: chunked\r\n"...)
	}
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(bodyLength), 10)
	return append(dst, "\r\n"...)
}

// AppendResponse appends the head of a response to a client, with the end-to-end fields of the backend's response. It
// adds Retry-After if retryAfterUs is above 0, and Connection: close unless keepAlive is set.
func AppendResponse(dst []byte, status int, fields []Field, bodyLength int, keepAlive bool, retryAfterUs int64) []byte {
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
	dst = appendLength(dst, bodyLength)
	return append(dst, "\r\n"...)
}
