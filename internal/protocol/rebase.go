package protocol

// Rebase makes the message refer to a copy of its buffer. from is the whole of the old buffer, and to has the same
// content at the same offsets.
func (m *Message) Rebase(from, to []byte) {
	move := func(text *[]byte) {
		// A slice of from extends to the end of its memory, which tells its offset.
		if offset := cap(from) - cap(*text); len(*text) > 0 && offset >= 0 && offset+len(*text) <= len(to) {
			*text = to[offset : offset+len(*text)]
		}
	}
	move(&m.Method)
	move(&m.Target)
	for i := range m.Fields {
		move(&m.Fields[i].Name)
		move(&m.Fields[i].Value)
	}
}
