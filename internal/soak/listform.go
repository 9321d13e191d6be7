package soak

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// How often answers of discovery have an unusual form in a run that varies them: one in this many.
const (
	fullListOneIn      = 3  // the full list instead of the changes
	withoutDrainsOneIn = 2  // of full lists, without backends that are draining
	invalidEntryOneIn  = 4  // with an invalid entry
	doubleEntryOneIn   = 6  // of full lists, with a second entry for each backend that is draining
	indentOneIn        = 3  // indented, on several lines
	listPiecesOneIn    = 4  // in several pieces
	listResetOneIn     = 10 // a connection reset instead of an answer
)

const (
	answerPieces = 3
	pieceDelay   = 60 * time.Millisecond
	// firstAddressRevisionOffset is added to the revisions at a node's first address of discovery but not to those at
	// its second. Each change of the address thus confronts the node with another sequence of revisions.
	firstAddressRevisionOffset = 1000
	invalidEntry               = `{"uid":"odd","endpoint":"nowhere","az":"z","state":"resting"}`
)

// answerForm determines the form of one answer of discovery.
type answerForm struct {
	fullList, withoutDrains, invalidEntry, doubleEntry, indent, pieces, reset bool
}

// answerForms draws the forms of a discovery's answers at random. The zero value always returns the usual form.
type answerForms struct {
	mutex  sync.Mutex
	random *rand.Rand // nil if all answers have the usual form
}

// next draws the form of the next answer.
func (f *answerForms) next() answerForm {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.random == nil {
		return answerForm{}
	}
	return answerForm{
		fullList:      f.random.IntN(fullListOneIn) == 0,
		withoutDrains: f.random.IntN(withoutDrainsOneIn) == 0,
		invalidEntry:  f.random.IntN(invalidEntryOneIn) == 0,
		doubleEntry:   f.random.IntN(doubleEntryOneIn) == 0,
		indent:        f.random.IntN(indentOneIn) == 0,
		pieces:        f.random.IntN(listPiecesOneIn) == 0,
		reset:         f.random.IntN(listResetOneIn) == 0,
	}
}

// lines returns the lines that a full list of this form contains. Removed backends are always left out, and draining
// ones if the form says so.
func (f answerForm) lines(all []listChange) []listChange {
	return slices.DeleteFunc(all, func(line listChange) bool {
		return line.state == stateRemoved || f.withoutDrains && line.state == stateDraining
	})
}

// body returns the encoded answer in this form.
func (f answerForm) body(answer listAnswer) []byte {
	if f.doubleEntry && answer.Full {
		for _, entry := range answer.Targets {
			if entry.State == stateDraining {
				entry.State = stateInService
				answer.Targets = append(answer.Targets, entry)
			}
		}
	}
	if f.indent && len(answer.Targets) == 0 {
		answer.Targets = nil // encoded as null
	}
	body, _ := json.Marshal(answer) // its fields can always be encoded
	if f.invalidEntry && len(answer.Targets) > 0 {
		body = bytes.Replace(body, []byte(`"targets":[`), []byte(`"targets":[`+invalidEntry+`,`), 1)
	}
	if f.indent {
		var indented bytes.Buffer
		_ = json.Indent(&indented, body, "", "\t") // the body is valid JSON
		body = indented.Bytes()
	}
	return body
}

// write writes an encoded answer, in pieces with delays if the form says so.
func (f answerForm) write(w http.ResponseWriter, body []byte) error {
	flusher, _ := w.(http.Flusher)
	length := len(body)
	if f.pieces {
		length = length/answerPieces + 1
	}
	for piece := range slices.Chunk(body, length) {
		if f.pieces {
			time.Sleep(pieceDelay)
		}
		if _, err := w.Write(piece); err != nil {
			return err
		}
		if flusher != nil {
			flusher.Flush()
		}
	}
	return nil
}
