package balancer

import (
	"math"
	"testing"
)

func TestInFlightMeterStartsAtItsSlots(t *testing.T) {
	meter := inFlightMeter{}
	if mean := meter.update(1000*ms, 1, 5, 100*ms); mean != 5 || meter.count != 1 {
		t.Errorf("count %d, mean %g; want 1 and 5", meter.count, mean)
	}
}

func TestInFlightMeterAveragesOverPeriod(t *testing.T) {
	meter := inFlightMeter{}
	meter.update(1000*ms, 4, 0, 100*ms)
	want := 4 * (1 - math.Exp(-1)) // after one time constant
	if mean := meter.update(1100*ms, 0, 0, 100*ms); math.Abs(mean-want) > 1e-9 {
		t.Errorf("mean %g after a period, want %g", mean, want)
	}
	if mean := meter.update(3000*ms, -4, 0, 100*ms); math.Abs(mean-4) > 1e-6 || meter.count != 0 {
		t.Errorf("count %d, mean %g after twenty periods; want 0 and 4", meter.count, mean)
	}
}
