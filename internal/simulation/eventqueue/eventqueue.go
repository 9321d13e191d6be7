// Package eventqueue is the core of a discrete-event simulation: a virtual clock in µs, an event queue that handles
// events in a reproducible order, and a separate stream of random numbers for each component. The package reads neither
// the wall clock nor the global random source, and it starts no goroutines.
package eventqueue

// Time is a point on the virtual clock, in µs.
type Time = int64

// Span is a duration of virtual time, in µs.
type Span = int64

// Common durations of virtual time.
const (
	Millisecond Span = 1000
	Second      Span = 1000 * Millisecond
)

// Handler handles the events whose Target it is. The clock shows now, the time at which the event is due.
type Handler interface{ Handle(now Time, e Event) }

// Event is a unit of work for its Target, which defines the meaning of Kind, Payload and Argument.
type Event struct {
	Target   Handler
	Payload  any   // a pointer, or nil if the event needs none
	Argument int64 // a number passed by value, which avoids an allocation for the payload
	Kind     uint8
}

// Source identifies a component that schedules events. Events that are due in the same µs are handled in the order of
// their sources' IDs, and events of the same source in the order in which it scheduled them. The order therefore
// depends on the IDs of the components and not on the order in which the components were created.
type Source struct {
	nextKey uint64 // source ID in the upper idBits, sequence number of the next event in the lower sequenceBits
}

const (
	idBits       = 24
	sequenceBits = 40
)

// NewSource returns a source with the given ID, which must be unique within the Sim. It panics unless the ID is below
// 1<<24.
func NewSource(id uint32) Source {
	if id >= 1<<idBits {
		panic("eventqueue: source ID out of range")
	}
	return Source{nextKey: uint64(id) << sequenceBits}
}

// entry is an element of the heap: the sort key of a pending event, and the slot that holds the event.
type entry struct {
	dueAt Time
	key   uint64
	slot  int32 // index of the event in Sim.slab
}

func (a entry) before(b entry) bool {
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.key < b.key
}

// arity is the maximum number of children of a heap node.
const arity = 4

// Sim is a virtual clock with its event queue. The zero value is ready to use and starts at time 0. A Sim is not safe
// for concurrent use.
//
// The queue is a heap of arity 4. It is half as deep as a binary heap, and the four keys that are compared at each
// level lie on two cache lines. Only the heap entries move; each event stays in its slot of the slab until it is
// handled.
type Sim struct {
	now       Time
	heap      []entry
	slab      []Event // the pending events, in no order
	freeSlots []int32 // indexes of the unused elements of slab
	handled   uint64
}

// Now returns the current virtual time.
func (s *Sim) Now() Time { return s.now }

// HandledEvents returns the number of events that have been handled since the Sim was created.
func (s *Sim) HandledEvents() uint64 { return s.handled }

// Pending returns the number of events that are waiting in the queue.
func (s *Sim) Pending() int { return len(s.heap) }

// Next returns the time at which the next event is due, and false if the queue is empty.
func (s *Sim) Next() (Time, bool) {
	if len(s.heap) == 0 {
		return 0, false
	}
	return s.heap[0].dueAt, true
}

// Schedule adds an event of the source to the queue. The event is due at dueAt, or immediately if dueAt has passed.
func (s *Sim) Schedule(source *Source, dueAt Time, event Event) {
	s.push(entry{dueAt: max(dueAt, s.now), key: source.nextKey, slot: s.store(event)})
	source.nextKey++
}

// store puts an event into a free slot of the slab, which it extends if no slot is free, and returns the slot.
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

// push adds an entry to the heap: parents that are due later move down until the entry fits.
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

// ScheduleAfter adds an event of the source to the queue. The event is due after the delay, or immediately if the delay
// is negative.
func (s *Sim) ScheduleAfter(source *Source, delay Span, event Event) {
	s.Schedule(source, s.now+max(delay, 0), event)
}

// Step advances the clock to the next event and handles it, provided that the event is due at until or earlier. It
// reports whether it handled an event.
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

// Run handles all events that are due at until or earlier, including those that are scheduled meanwhile, and then sets
// the clock to until if it is earlier.
func (s *Sim) Run(until Time) {
	for s.Step(until) {
	}
	s.now = max(s.now, until)
}

// pop removes the first entry of the heap. The last entry replaces it and moves down until it precedes its children.
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
		earliest := firstChild
		for child := firstChild + 1; child < min(firstChild+arity, count); child++ {
			if heap[child].before(heap[earliest]) {
				earliest = child
			}
		}
		if !heap[earliest].before(moved) {
			break
		}
		heap[position], position = heap[earliest], earliest
	}
	heap[position] = moved
}
