package node

import (
	"tulipglade/internal/balancer"
)

// Reconfigure puts new settings in force. They must be valid: balancer.New accepts their Balancer part. Open requests
// and what follows from them keep the settings under which they were admitted. What was learned of a class or tenant
// is kept under its name.
func (n *Node) Reconfigure(set Settings) {
	n.post(func() { n.applySettings(set) })
}

// applySettings gives each class and tenant a number. A class that stays the same keeps its number; one that changes
// gets another, as open requests of it keep the old rules; numbers that only open requests use stay the same.
func (n *Node) applySettings(settings Settings) {
	previous := n.settings
	settings.addDefaultTenant()
	settings.MaxDescriptors, settings.MemoryLimit, settings.Seed = previous.MaxDescriptors, previous.MemoryLimit, previous.Seed
	usedClasses, usedTenants := make([]bool, len(previous.Classes)), make([]bool, len(previous.Tenants))
	for _, req := range n.requests {
		usedClasses[req.class], usedTenants[req.tenant] = true, true
	}
	classNames, classRules := settings.Classes, settings.Balancer.Classes
	previousIndex := func(name string) int {
		if i, ok := n.classIndex[name]; ok {
			return i
		}
		return -1
	}
	classes, classesFrom := assignNumbers(usedClasses, classNames, func(k int) (stays, learned int) {
		i := previousIndex(classNames[k])
		if i >= 0 && previous.Balancer.Classes[i] == classRules[k] {
			return i, i
		}
		return -1, i
	})
	settings.Classes, settings.Balancer.Classes = nil, nil
	for i, k := range classes {
		if k >= 0 {
			settings.Classes, settings.Balancer.Classes = append(settings.Classes, classNames[k]), append(settings.Balancer.Classes, classRules[k])
		} else { // used by open requests only, or unused
			settings.Classes = append(settings.Classes, previous.Classes[i])
			settings.Balancer.Classes = append(settings.Balancer.Classes, previous.Balancer.Classes[i])
		}
	}
	tenantNames, shares := settings.Tenants, settings.Balancer.Tenants
	tenants, tenantsFrom := assignNumbers(usedTenants, tenantNames, func(k int) (stays, learned int) {
		if i, ok := n.tenantIndex[tenantNames[k]]; ok {
			return i, i
		}
		return -1, -1
	})
	settings.Tenants, settings.Balancer.Tenants = nil, nil
	for i, k := range tenants {
		if k >= 0 {
			settings.Tenants, settings.Balancer.Tenants = append(settings.Tenants, tenantNames[k]), append(settings.Balancer.Tenants, shares[k])
		} else {
			settings.Tenants = append(settings.Tenants, previous.Tenants[i])
			settings.Balancer.Tenants = append(settings.Balancer.Tenants, balancer.Tenant{})
		}
	}
	if err := n.balancer.Reconfigure(n.now(), settings.Balancer, classesFrom, tenantsFrom); err != nil {
		n.log.Error("settings not taken up", "err", err)
		return
	}
	n.settings = &settings
	n.classIndex, n.tenantIndex = activeIndex(classes, classNames), activeIndex(tenants, tenantNames)
	n.log.Info("settings taken up", "classes", classNames, "attempts", settings.Balancer.MaxAttempts, "tenants", tenantNames)
}

// assignNumbers gives each of the new names a number: its own if origin says that it is kept, else an unused one,
// else the next higher. For each number, nameAt has the index of the new name that has it, and learnedFrom the old
// number whose learned state it continues; -1: none.
func assignNumbers(used []bool, names []string, origin func(name int) (kept, learned int)) (nameAt, learnedFrom []int) {
	nameAt, learnedFrom = make([]int, len(used)), make([]int, len(used))
	for number := range nameAt {
		nameAt[number], learnedFrom[number] = -1, number
	}
	for name := range names {
		if number, _ := origin(name); number >= 0 {
			nameAt[number] = name
		}
	}
	for name := range names {
		kept, learned := origin(name)
		if kept >= 0 {
			continue
		}
		free := 0
		for free < len(nameAt) && (nameAt[free] >= 0 || used[free]) {
			free++
		}
		if free == len(nameAt) {
			nameAt, learnedFrom, used = append(nameAt, -1), append(learnedFrom, -1), append(used, false)
		}
		nameAt[free], learnedFrom[free] = name, learned
	}
	for len(nameAt) > 0 && nameAt[len(nameAt)-1] < 0 && !used[len(nameAt)-1] { // unused ones at the end
		nameAt, learnedFrom, used = nameAt[:len(nameAt)-1], learnedFrom[:len(learnedFrom)-1], used[:len(used)-1]
	}
	return nameAt, learnedFrom
}

// activeIndex maps the names that new requests may use to their numbers.
func activeIndex(nameAt []int, names []string) map[string]int {
	index := make(map[string]int, len(names))
	for number, name := range nameAt {
		if name >= 0 {
			index[names[name]] = number
		}
	}
	return index
}
