// Package eventqueue is the core of a discrete-event simulation: a virtual clock in µs, a queue of events with a defined
// order, and a random stream for each component. It reads no wall clock and no global random source, and starts no
// goroutine.
package eventqueue

// Time is a point on the virtual clock, in µs.
type Time = int64

// Span is a length of virtual time, in µs.
type Span = int64

// Lengths of virtual time.
const (
	Millisecond Span = 1000
	Second      Span = 1000 * Millisecond
)

// Handler receives the events that are addressed to it.
type Handler interface{ Handle(now Time, e Event) }

// Event is what a handler receives. Its handler defines the meaning of Kind, P and A.
type Event struct {
	Target   Handler
	Payload  any   // a pointer, or nil
	Argument int64 // a number, which needs no allocation
	Kind     uint8
}

// Source identifies a component that sets events. Events of one µs are handled in the order of their sources' IDs, and
// those of one source in the order in which it set them. So the order depends on what the components are and not on when
// each was created.
type Source struct {
	nextKey uint64 // ID in the upper idBits, number of the next event in the lower sequenceBits
}

const (
	idBits       = 24
	sequenceBits = 40
)

// NewSource returns the source with that ID, which must be below 1<<24 and unique within the Sim.
func NewSource(id uint32) Source {
	if id >= 1<<idBits {
		panic("eventqueue: source ID out of range")
	}
	return Source{nextKey: uint64(id) << sequenceBits}
}

// entry is an event's place in the queue.
type entry struct {
	dueAt Time
	key   uint64
	slot  int32 // index of the event in slab
}

func (a entry) before(b entry) bool {
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.key < b.key
}

// arity is the number of children of a node of the heap.
const arity = 4

// Sim is a clock and its event queue. The zero value is ready at time 0. It is not safe for concurrent use.
//
// The queue is a heap of arity 4: half as deep as a binary heap, and the four keys that a step compares lie on two cache
// lines. The events themselves don't move: they stay in their slots of a slab.
type Sim struct {
	now       Time
	heap      []entry
	slab      []Event
	freeSlots []int32
	handled   uint64
}

// Now returns the present time.
func (s *Sim) Now() Time { return s.now }

// HandledEvents returns the number of events handled.
func (s *Sim) HandledEvents() uint64 { return s.handled }

// Pending returns the number of events in the queue.
func (s *Sim) Pending() int { return len(s.heap) }

// Next returns the time of the next event, if there is one.
func (s *Sim) Next() (Time, bool) {
	if len(s.heap) == 0 {
		return 0, false
	}
	return s.heap[0].dueAt, true
}

// Schedule sets an event for a time, or for now if that has passed.
func (s *Sim) Schedule(source *Source, dueAt Time, event Event) {
	s.push(entry{dueAt: max(dueAt, s.now), key: source.nextKey, slot: s.store(event)})
	source.nextKey++
}

// store puts an event into a free slot of the slab, and returns the slot.
func (s *Sim) store(event Event) int32 {
	if last := len(s.freeSlots) - 1; last >= 0 {
		slot := s.freeSlots[last]
		s.freeSlots = s.freeSlots[:last]
		s.slab[slot] = event
		return slot
	}
	s.slab = append(s.slab, event)
	return int32(len(s.slab) - 1)
}

// push adds an entry to the heap.
func (s *Sim) push(added entry) {
	s.heap = append(s.heap, added)
	heap, position := s.heap, len(s.heap)-1
	for position > 0 {
		parent := (position - 1) / arity
		if !added.before(heap[parent]) {
			break
		}
		heap[position], position = heap[parent], parent
	}
	heap[position] = added
}

// ScheduleAfter sets an event for after a delay.
func (s *Sim) ScheduleAfter(source *Source, delay Span, event Event) {
	s.Schedule(source, s.now+max(delay, 0), event)
}

// Step handles the next event if it is due by until, and reports whether it did.
func (s *Sim) Step(until Time) bool {
	if len(s.heap) == 0 || s.heap[0].dueAt > until {
		return false
	}
	top := s.heap[0]
	s.pop()
	event := s.slab[top.slot]
	s.slab[top.slot] = Event{}
	s.freeSlots = append(s.freeSlots, top.slot)
	s.now = top.dueAt
	s.handled++
	event.Target.Handle(s.now, event)
	return true
}

// Run handles all events that are due by until, and leaves the clock there.
func (s *Sim) Run(until Time) {
	for s.Step(until) {
	}
	s.now = max(s.now, until)
}

// pop removes the first entry of the heap.
func (s *Sim) pop() {
	count := len(s.heap) - 1
	moved := s.heap[count]
	s.heap = s.heap[:count]
	if count == 0 {
		return
	}
	heap, position := s.heap, 0
	for {
		firstChild := arity*position + 1
		if firstChild >= count {
			break
		}
		least := firstChild
		for child := firstChild + 1; child < min(firstChild+arity, count); child++ {
			if heap[child].before(heap[least]) {
				least = child
			}
		}
		if !heap[least].before(moved) {
			break
		}
		heap[position], position = heap[least], least
	}
	heap[position] = moved
}
