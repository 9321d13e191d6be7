package balancer

import (
	"math"
	"testing"
)

// TestLearnedStateMovesToNextProcess guards against a successor that starts without the learned state, against two
// processes that each spend the whole slow-start budget, and against invalid values in the learned state.
func TestLearnedStateMovesToNextProcess(t *testing.T) {
	cfg := testConfig()
	list := testEndpoints(4)
	list[3].StartedAt = 1e9 - 1000*ms
	node := startNode(t, cfg, list...)
	for id := RequestID(1); id < 200; id++ {
		node.request(id, 0, 0)
		node.complete(id, 0, OutcomeOK)
		node.advance(5 * ms)
	}
	node.balancer.endpointsByID[1].outlier.errorRate, node.balancer.endpointsByID[1].limit = 0.3, 17
	before := node.balancer.endpointsByID[4].slowStart.count
	learned := node.balancer.ExportState(node.now)
	if now := node.balancer.endpointsByID[4].slowStart.count; now != before/2 || learned.Endpoints[4].SlowStartTokens != before/2 {
		t.Errorf("of %v tokens, the process kept %v and exported %v; want half each", before, now, learned.Endpoints[4].SlowStartTokens)
	}
	next := startNodeWithSeed(t, 8, cfg, list...)
	next.balancer.ImportState(next.now, learned)
	endpoint, mean, rate := next.balancer.endpointsByID[1], next.balancer.classes[0].latency.mean, next.balancer.answerRate
	sameRates := mean == node.balancer.classes[0].latency.mean && rate == node.balancer.answerRate
	if endpoint.outlier.errorRate != 0.3 || endpoint.limit != 17 || !sameRates {
		t.Errorf("imported error rate %v, limit %v, mean latency %v, answer rate %v",
			endpoint.outlier.errorRate, endpoint.limit, mean, rate)
	}
	alone := startNodeWithSeed(t, 9, cfg, list...)
	alone.balancer.ImportState(alone.now, learned)
	next.balancer.SetProcessCount(2)
	alone.advance(500 * ms)
	next.now = alone.now
	for _, node := range []*fakeNode{alone, next} {
		node.balancer.now = node.now
		node.balancer.hasSlowStartToken(node.balancer.endpointsByID[4])
	}
	earnedAlone := alone.balancer.endpointsByID[4].slowStart.count - before/2
	earnedAsOneOfTwo := next.balancer.endpointsByID[4].slowStart.count - before/2
	if earnedAlone <= 0 || math.Abs(earnedAsOneOfTwo/earnedAlone-0.5) > 0.01 {
		t.Errorf("a single process has earned %v tokens, one of two processes %v; want half of that", earnedAlone, earnedAsOneOfTwo)
	}
	invalid := learned
	invalid.Endpoints = map[uint64]LearnedEndpoint{1: {Limit: math.NaN(), ErrorRate: 7}, 2: {Limit: -1}, 9: {Limit: 5}}
	invalid.Classes, invalid.AnswerRate = []LearnedClass{{0, 0}}, math.Inf(1)
	importer := startNodeWithSeed(t, 10, cfg, list...)
	limit := importer.balancer.endpointsByID[1].limit
	importer.balancer.ImportState(importer.now, invalid)
	first, second := importer.balancer.endpointsByID[1].limit, importer.balancer.endpointsByID[2].limit
	if first != limit || second <= 0 || importer.balancer.answerRate != 0 {
		t.Errorf("invalid values were imported: limits %v and %v, answer rate %v", first, second, importer.balancer.answerRate)
	}
}
