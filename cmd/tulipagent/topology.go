package main

import (
	"fmt"

	"tulipglade/internal/agent"
	"tulipglade/internal/failover"
	"tulipglade/internal/tomlfile"
)

// topologyFile is the content of the TOML file that --topology names.
type topologyFile struct {
	Zones   []failover.Zone `toml:"zone"`
	Costs   [][]float64     `toml:"price"` // cost of traffic, by source and then destination zone
	Classes []topologyClass `toml:"class"`
}

type topologyClass struct {
	Name           string  `toml:"name"`
	PriorityWeight float64 `toml:"worth"` // weight of a core-second of this class
}

// loadTopology reads the zones, the costs between them, and the priority weights of the classes from a file.
func loadTopology(file string) (*agent.FailoverOptions, error) {
	var decoded topologyFile
	if err := tomlfile.Load(file, &decoded); err != nil {
		return nil, fmt.Errorf("--topology: %w", err)
	}
	if len(decoded.Zones) == 0 || len(decoded.Classes) == 0 {
		return nil, fmt.Errorf("--topology: %s: at least one zone and one class are required", file)
	}
	options := &agent.FailoverOptions{
		Topology: failover.Topology{Zones: decoded.Zones, Cost: decoded.Costs},
		Rules:    failover.DefaultRules,
	}
	if err := options.Topology.Check(); err != nil {
		return nil, fmt.Errorf("--topology: %s: price: %w", file, err)
	}
	for _, class := range decoded.Classes {
		options.PriorityWeights = append(options.PriorityWeights, class.PriorityWeight)
	}
	return options, nil
}
