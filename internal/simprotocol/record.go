package simprotocol

import (
	"bytes"
	"fmt"
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/settings"
)

const (
	listEntrySize = 25
	byteUnitSize  = 1 // unit size of a tail section whose count is in bytes
)

// The flags of a Request record.
const (
	flagCostHint = 1 << iota
	flagRetry
)

// The valid outcome codes are the multiples of outcomeCodeStep from minOutcomeCode to maxOutcomeCode.
const (
	outcomeCodeStep = 10
	minOutcomeCode  = 10
	maxOutcomeCode  = 80
)

// maxReportValues is the maximum number of values in a load report.
const maxReportValues = 4

// notReported marks the fields of a balancer.LoadReport for which the load report has no value.
const notReported = -1

// decodeRecord decodes one record of a frame. Offsets in the record refer to the frame's tail.
func (r *Reader) decodeRecord(record, tail []byte) (Event, error) {
	fields := cursor{record}
	event := Event{Code: EventCode(fields.uint8())}
	if event.Code == recordInventory {
		return event, r.decodeInventory(fields, tail)
	}
	event.Instance = fields.uint32()
	return event, r.decodeEvent(&event, fields, tail)
}

// decodeEvent decodes the fields of an event that follow the instance.
func (r *Reader) decodeEvent(event *Event, fields cursor, tail []byte) error {
	switch event.Code {
	case EventStart:
		return r.decodeStart(event, fields, tail)
	case EventEndpoints:
		return r.decodeEndpoints(event, fields)
	case EventRequest:
		return decodeRequest(event, fields)
	case EventResponseStart:
		decodeResponseStart(event, fields)
	case EventAttemptResult:
		return r.decodeAttemptResult(event, fields)
	case EventCancellation:
		event.Result.ID = fields.requestID()
	case EventTimer:
		event.Timer = balancer.TimerID(fields.uint64())
	case EventHealthCheck:
		return r.decodeHealthCheck(event, fields)
	case EventPeerMessage:
		return decodePeerMessage(event, fields, tail)
	case EventStop:
	default:
		return fmt.Errorf("unknown record code %d", byte(event.Code))
	}
	return nil
}

// decodeInventory decodes an Inventory record and retains its endpoint list under the record's number.
func (r *Reader) decodeInventory(fields cursor, tail []byte) error {
	number := fields.uint16()
	if number >= len(r.lists) {
		return fmt.Errorf("record Inventory: list number %d is over %d", number, len(r.lists)-1)
	}
	entries, err := fields.tailSection(tail, listEntrySize, recordInventory)
	if err != nil {
		return err
	}
	endpoints, err := decodeListEntries(entries)
	r.lists[number] = endpointList{defined: err == nil, endpoints: endpoints}
	return err
}

func decodeListEntries(raw []byte) ([]balancer.Endpoint, error) {
	endpoints := make([]balancer.Endpoint, 0, len(raw)/listEntrySize)
	for i := 0; i < len(raw); i += listEntrySize {
		endpoint, err := decodeListEntry(cursor{raw[i:]})
		if err != nil {
			return nil, fmt.Errorf("record Inventory: entry %d: %w", i/listEntrySize, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func decodeListEntry(fields cursor) (balancer.Endpoint, error) {
	phase := fields.uint8()
	if phase > byte(balancer.PhaseDraining) {
		return balancer.Endpoint{}, fmt.Errorf("unknown phase %d", phase)
	}
	endpoint := balancer.Endpoint{Phase: balancer.Phase(phase)}
	endpoint.Weight = fields.float32()
	endpoint.Cell = fields.uint16()
	endpoint.Zone = fields.uint16()
	startedAt, raw, ok := fields.time()
	if !ok {
		return balancer.Endpoint{}, fmt.Errorf("start time %d is out of range", raw)
	}
	endpoint.StartedAt = startedAt
	endpoint.ID = fields.endpointID()
	return endpoint, nil
}

func (r *Reader) decodeStart(event *Event, fields cursor, tail []byte) error {
	event.Seed = fields.uint64()
	raw, err := fields.tailSection(tail, byteUnitSize, event.Code)
	if err != nil {
		return err
	}
	deployment, err := settings.Parse(raw)
	if err != nil {
		return fmt.Errorf("record PowerOn: boot_info: %w", err)
	}
	event.Config = deployment.Balancer
	r.reportFields[event.Instance] = deployment.LoadReportFields
	return nil
}

func (r *Reader) decodeEndpoints(event *Event, fields cursor) error {
	event.ListKind = balancer.ListKind(fields.uint8())
	if event.ListKind > balancer.ListFailed {
		return fmt.Errorf("record Members: unknown mode %d at byte 5", event.ListKind)
	}
	if event.ListKind == balancer.ListFailed {
		return nil
	}
	number := fields.uint16()
	if number >= len(r.lists) || !r.lists[number].defined {
		return fmt.Errorf("record Members: no Inventory with number %d", number)
	}
	event.Endpoints = r.lists[number].endpoints
	return nil
}

func decodeRequest(event *Event, fields cursor) error {
	request := &event.Request
	request.ID = fields.requestID()
	flags := fields.uint8()
	request.IsRetry = flags&flagRetry != 0
	costHint := int64(fields.uint32())
	if flags&flagCostHint != 0 {
		request.CostHint = costHint
	}
	request.AffinityKey = fields.uint64()
	request.Tenant = fields.uint16()
	deadline, raw, ok := fields.time()
	if !ok {
		return fmt.Errorf("record Request: client_deadline_us %d is out of range", raw)
	}
	request.Deadline = deadline
	request.Class = fields.uint16()
	return nil
}

func decodeResponseStart(event *Event, fields cursor) {
	result := &event.Result
	result.ID = fields.requestID()
	result.Latency = fields.span()
	result.Endpoint = fields.endpointID()
	result.Attempt = fields.uint16()
}

func (r *Reader) decodeAttemptResult(event *Event, fields cursor) error {
	result := &event.Result
	result.ID = fields.requestID()
	result.Attempt = fields.uint16()
	outcome, err := decodeOutcome(fields.uint16())
	if err != nil {
		return fmt.Errorf("record Settled: %w", err)
	}
	result.Outcome = outcome
	result.Latency = fields.span()
	result.Endpoint = fields.endpointID()
	result.RequestDone = fields.uint8() != 0
	result.Load, err = r.decodeLoadReport(event.Instance, fields)
	if err != nil {
		return fmt.Errorf("record Settled: %w", err)
	}
	return nil
}

func (r *Reader) decodeHealthCheck(event *Event, fields cursor) error {
	result := &event.Result
	outcome, err := decodeOutcome(fields.uint16())
	if err != nil {
		return fmt.Errorf("record CheckResult: %w", err)
	}
	result.Outcome = outcome
	result.Endpoint = fields.endpointID()
	result.Latency = fields.span()
	result.Load, err = r.decodeLoadReport(event.Instance, fields)
	if err != nil {
		return fmt.Errorf("record CheckResult: %w", err)
	}
	return nil
}

func decodePeerMessage(event *Event, fields cursor, tail []byte) error {
	event.Peer = fields.uint16()
	data, err := fields.tailSection(tail, byteUnitSize, event.Code)
	if err != nil {
		return err
	}
	event.Data = bytes.Clone(data) // the next batch overwrites the tail
	return nil
}

func decodeOutcome(code int) (balancer.Outcome, error) {
	if code%outcomeCodeStep != 0 || code < minOutcomeCode || code > maxOutcomeCode {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return balancer.Outcome(code), nil
}

// decodeLoadReport decodes a load report, whose values are in the order of the field names in the instance's settings.
// It returns nil if the record holds no load report.
func (r *Reader) decodeLoadReport(instance uint32, fields cursor) (*balancer.LoadReport, error) {
	count := int(fields.uint8())
	if count > maxReportValues {
		return nil, fmt.Errorf("load report of %d values is too long", count)
	}
	if count == 0 {
		return nil, nil
	}
	report := &balancer.LoadReport{Outstanding: notReported, Backlog: notReported, Utilization: notReported}
	names := r.reportFields[instance]
	for _, name := range names[:min(count, len(names))] {
		value := fields.float32()
		if math.IsNaN(value) || math.IsInf(value, 0) {
			continue
		}
		switch name {
		case "outstanding":
			report.Outstanding = value
		case "backlog":
			report.Backlog = value
		case "utilization":
			report.Utilization = value
		}
	}
	return report, nil
}
