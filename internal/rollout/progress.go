package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// progress is the state of a rollout that its note records. Its JSON form is stored.
type progress struct {
	Change     string          `json:"change"` // the name of the change
	Done       []string        `json:"done,omitempty"`
	InProgress map[string]Step `json:"doing,omitempty"`
	Complete   bool            `json:"over,omitempty"`
}

// parseNote decodes the note that an earlier process has saved.
func parseNote(note string) (progress, error) {
	var p progress
	if err := json.Unmarshal([]byte(note), &p); err != nil {
		return progress{}, fmt.Errorf("decode note of the earlier rollout: %w", err)
	}
	if p.InProgress == nil {
		p.InProgress = map[string]Step{}
	}
	return p, nil
}

// note encodes the progress in the form that parseNote decodes. A complete rollout's note leaves out the nodes.
func (p progress) note() string {
	if p.Complete {
		p.Done = nil
	}
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // impossible: progress consists of strings and a bool
	}
	return string(raw)
}

// removeUnlisted removes the nodes whose names are not in the list any more.
func (p *progress) removeUnlisted(names map[string]bool) {
	p.Done = slices.DeleteFunc(p.Done, func(name string) bool { return !names[name] })
	maps.DeleteFunc(p.InProgress, func(name string, _ Step) bool { return !names[name] })
}
