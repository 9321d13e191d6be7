package node

import "tulipglade/internal/balancer"

// Reconfigure replaces the settings. They must be valid, which means that balancer.New accepts their Balancer part.
// Open requests and their attempts keep the settings under which they were admitted. What was learned of a class or
// tenant is kept as long as its name stays in the settings. Zones, Seed, MaxDescriptors and MemoryLimit keep the values
// with which the node was created.
func (n *Node) Reconfigure(settings Settings) {
	n.post(func() { n.applySettings(settings) })
}

// applySettings assigns a number to each class and tenant and passes the settings to the balancer. A class whose rules
// are unchanged keeps its number. A class whose rules change gets another number, because its open requests keep the
// old rules. Numbers that only open requests still use are kept.
func (n *Node) applySettings(settings Settings) {
	previous := n.settings
	settings.addDefaultTenant()
	settings.MaxDescriptors, settings.MemoryLimit, settings.Seed = previous.MaxDescriptors, previous.MemoryLimit, previous.Seed
	classNames, classRules := settings.Classes, settings.Balancer.Classes
	tenantNames, tenantQuotas := settings.Tenants, settings.Balancer.Tenants
	usedClasses, usedTenants := n.numbersInUse()
	classes, classesFrom := assignNumbers(usedClasses, classNames, func(class int) (ownNumber, learnedNumber int) {
		number, ok := n.classIndex[classNames[class]]
		switch {
		case !ok:
			return noNumber, noNumber
		case previous.Balancer.Classes[number] != classRules[class]:
			return noNumber, number
		}
		return number, number
	})
	tenants, tenantsFrom := assignNumbers(usedTenants, tenantNames, func(tenant int) (ownNumber, learnedNumber int) {
		if number, ok := n.tenantIndex[tenantNames[tenant]]; ok {
			return number, number
		}
		return noNumber, noNumber
	})
	settings.Classes = arrangeByNumber(classes, classNames, func(number int) string { return previous.Classes[number] })
	settings.Balancer.Classes = arrangeByNumber(classes, classRules, func(number int) balancer.Class { return previous.Balancer.Classes[number] })
	settings.Tenants = arrangeByNumber(tenants, tenantNames, func(number int) string { return previous.Tenants[number] })
	settings.Balancer.Tenants = arrangeByNumber(tenants, tenantQuotas, func(int) balancer.Tenant { return balancer.Tenant{} })
	if err := n.balancer.Reconfigure(n.now(), settings.Balancer, classesFrom, tenantsFrom); err != nil {
		n.log.Error("settings rejected", "err", err)
		return
	}
	n.settings = &settings
	n.classIndex, n.tenantIndex = numbersByName(classes, classNames), numbersByName(tenants, tenantNames)
	n.log.Info("settings applied", "classes", classNames, "attempts", settings.Balancer.MaxAttempts, "tenants", tenantNames)
}

// numbersInUse reports, by number, which classes and tenants the requests in n.requests use.
func (n *Node) numbersInUse() (classes, tenants []bool) {
	classes, tenants = make([]bool, len(n.settings.Classes)), make([]bool, len(n.settings.Tenants))
	for _, req := range n.requests {
		classes[req.class], tenants[req.tenant] = true, true
	}
	return classes, tenants
}

// arrangeByNumber returns values, which are in the order of the new names, in the order of their numbers; nameAt is a
// result of assignNumbers. A number without a new name, whether open requests still use it or not, gets the value that
// previous returns.
func arrangeByNumber[T any](nameAt []int, values []T, previous func(number int) T) (arranged []T) {
	for number, name := range nameAt {
		if name == noNumber {
			arranged = append(arranged, previous(number))
		} else {
			arranged = append(arranged, values[name])
		}
	}
	return arranged
}

// noNumber stands for the lack of a number, or of the index of a name.
const noNumber = -1

// assignNumbers assigns a number to each of the new names, of classes or of tenants. origin returns the number that a
// name keeps and the old number whose learned state it continues, each of which may be noNumber. A name that keeps no
// number gets the lowest unused one, or the next higher if all are in use. In the results, which are indexed by number,
// nameAt holds the index of the new name with that number, and learnedFrom the old number whose learned state it
// continues, or noNumber.
func assignNumbers(
	used []bool, names []string, origin func(name int) (ownNumber, learnedNumber int),
) (nameAt, learnedFrom []int) {
	nameAt, learnedFrom = make([]int, len(used)), make([]int, len(used))
	for number := range nameAt {
		nameAt[number], learnedFrom[number] = noNumber, number
	}
	for name := range names {
		if number, _ := origin(name); number != noNumber {
			nameAt[number] = name
		}
	}
	for name := range names {
		ownNumber, learnedNumber := origin(name)
		if ownNumber != noNumber {
			continue
		}
		free := 0
		for free < len(nameAt) && (nameAt[free] != noNumber || used[free]) {
			free++
		}
		if free == len(nameAt) {
			nameAt, learnedFrom, used = append(nameAt, noNumber), append(learnedFrom, noNumber), append(used, false)
		}
		nameAt[free], learnedFrom[free] = name, learnedNumber
	}
	length := len(nameAt)
	for length > 0 && nameAt[length-1] == noNumber && !used[length-1] {
		length--
	}
	return nameAt[:length], learnedFrom[:length]
}

// numbersByName returns the number of each name in names. New requests are only admitted for these names.
func numbersByName(nameAt []int, names []string) map[string]int {
	index := make(map[string]int, len(names))
	for number, name := range nameAt {
		if name != noNumber {
			index[names[name]] = number
		}
	}
	return index
}
