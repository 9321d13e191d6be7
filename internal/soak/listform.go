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

// How often answers of discovery have an unusual form, where a run varies them: one in so many.
const (
	fullListOneIn      = 3  // the full list, in place of changes
	withoutDrainsOneIn = 2  // of these without backends that drain
	invalidEntryOneIn  = 4  // with an entry that cannot be read
	doubleEntryOneIn   = 6  // of full lists with a second entry for each backend that drains
	indentOneIn        = 3  // over several lines
	listPiecesOneIn    = 4  // in pieces
	listResetOneIn     = 10 // a reset in place of an answer
)

const (
	answerPieces = 3
	pieceDelay   = 60 * time.Millisecond
	// firstAddressRevisionOffset is by how much the revisions at a node's first address of discovery are higher than those at its second: each move
	// has revisions start over.
	firstAddressRevisionOffset = 1000
	invalidEntry               = `{"uid":"odd","endpoint":"nowhere","az":"z","state":"resting"}`
)

// answerForm is the form of one answer of discovery.
type answerForm struct {
	fullList, withoutDrains, invalidEntry, doubleEntry, indent, pieces, reset bool
}

// answerForms draws the forms of a discovery's answers. The zero value draws the usual form alone.
type answerForms struct {
	mutex  sync.Mutex
	random *rand.Rand // nil: the usual form
}

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

// lines returns what a full list of this form has of all lines: none of backends that were removed.
func (f answerForm) lines(all []listChange) []listChange {
	return slices.DeleteFunc(all, func(line listChange) bool {
		return line.state == stateRemoved || f.withoutDrains && line.state == stateDraining
	})
}

// body returns an answer in this form.
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
		answer.Targets = nil // null
	}
	body, _ := json.Marshal(answer) // it has nothing that cannot be encoded
	if f.invalidEntry && len(answer.Targets) > 0 {
		body = bytes.Replace(body, []byte(`"targets":[`), []byte(`"targets":[`+invalidEntry+`,`), 1)
	}
	if f.indent {
		var indented bytes.Buffer
		_ = json.Indent(&indented, body, "", "\t") // it is valid
		body = indented.Bytes()
	}
	return body
}

// write writes a body in this form.
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
