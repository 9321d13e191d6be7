package node

import "tulipglade/internal/balancer"

// Reconfigure puts new settings in force. They must be valid: balancer.New accepts their Balancer part. Open requests
// and what follows from them keep the settings under which they were admitted. What was learned of a class or tenant
// is kept under its name.
func (n *Node) Reconfigure(settings Settings) {
	n.post(func() { n.applySettings(settings) })
}

// applySettings gives each class and tenant a number. A class that stays the same keeps its number; one that changes
// gets another, as open requests of it keep the old rules; numbers that only open requests use stay the same.
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

// numbersInUse marks the numbers of classes and tenants that requests use.
func (n *Node) numbersInUse() (classes, tenants []bool) {
	classes, tenants = make([]bool, len(n.settings.Classes)), make([]bool, len(n.settings.Tenants))
	for _, req := range n.requests {
		classes[req.class], tenants[req.tenant] = true, true
	}
	return classes, tenants
}

// arrangeByNumber arranges values by number. A number without a new name, which open requests use or nobody does, keeps its
// previous value.
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

// noNumber stands for no number or no name.
const noNumber = -1

// assignNumbers gives each of the new names a number: its own if origin says that it is kept, else an unused one,
// else the next higher. For each number, nameAt has the index of the new name that has it, and learnedFrom the old
// number whose learned state it continues, or noNumber.
func assignNumbers(used []bool, names []string, origin func(name int) (ownNumber, learnedNumber int)) (nameAt, learnedFrom []int) {
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

// numbersByName maps the names that new requests may use to their numbers.
func numbersByName(nameAt []int, names []string) map[string]int {
	index := make(map[string]int, len(names))
	for number, name := range nameAt {
		if name != noNumber {
			index[names[name]] = number
		}
	}
	return index
}
