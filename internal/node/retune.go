package node

import "tulipglade/internal/balancer"

// Reconfigure takes up new settings, which must be sound: their Module is one that tulipglade.New takes. Requests that are
// open, and what they lead to, keep the settings that they came under. What was learned of a class or a tenant lives on
// under its name.
func (n *Node) Reconfigure(set Settings) {
	n.post(func() { n.retune(set) })
}

// retune gives each class and tenant a number. One that stays as it is keeps its own; a class that changes gets
// another, as those of its requests that are open keep the old rules; numbers that only open requests have stay as they are.
func (n *Node) retune(set Settings) {
	old := n.set
	set.nameless()
	set.MaxDescriptors, set.MemoryLimit, set.Seed = old.MaxDescriptors, old.MemoryLimit, old.Seed
	usedClasses, usedTenants := make([]bool, len(old.Classes)), make([]bool, len(old.Tenants))
	for _, r := range n.requests {
		usedClasses[r.class], usedTenants[r.tenant] = true, true
	}
	names, rules := set.Classes, set.Balancer.Classes
	was := func(name string) int {
		if i, ok := n.classes[name]; ok {
			return i
		}
		return -1
	}
	classes, from := numbers(usedClasses, names, func(k int) (stays, learned int) {
		i := was(names[k])
		if i >= 0 && old.Balancer.Classes[i] == rules[k] {
			return i, i
		}
		return -1, i
	})
	set.Classes, set.Balancer.Classes = nil, nil
	for i, k := range classes {
		if k >= 0 {
			set.Classes, set.Balancer.Classes = append(set.Classes, names[k]), append(set.Balancer.Classes, rules[k])
		} else { // of open requests only, or of nobody
			set.Classes, set.Balancer.Classes = append(set.Classes, old.Classes[i]), append(set.Balancer.Classes, old.Balancer.Classes[i])
		}
	}
	tenantNames, shares := set.Tenants, set.Balancer.Tenants
	tenants, tenantsFrom := numbers(usedTenants, tenantNames, func(k int) (stays, learned int) {
		if i, ok := n.tenants[tenantNames[k]]; ok {
			return i, i
		}
		return -1, -1
	})
	set.Tenants, set.Balancer.Tenants = nil, nil
	for i, k := range tenants {
		if k >= 0 {
			set.Tenants, set.Balancer.Tenants = append(set.Tenants, tenantNames[k]), append(set.Balancer.Tenants, shares[k])
		} else {
			set.Tenants, set.Balancer.Tenants = append(set.Tenants, old.Tenants[i]), append(set.Balancer.Tenants, balancer.Tenant{})
		}
	}
	if err := n.bal.Reconfigure(n.now(), set.Balancer, from, tenantsFrom); err != nil {
		n.log.Error("settings not taken up", "err", err)
		return
	}
	n.set = &set
	n.classes, n.tenants = live(classes, names), live(tenants, tenantNames)
	n.log.Info("settings taken up", "classes", names, "attempts", set.Balancer.MaxAttempts, "tenants", tenantNames)
}

// nameless has all requests belong to a tenant without a name where the settings tell none apart. No tenant that has one goes on with what
// that one has learned, nor the other way round.
func (s *Settings) nameless() {
	if len(s.Tenants) == 0 {
		s.Tenants, s.Balancer.Tenants = []string{""}, []balancer.Tenant{{QuotaFraction: 1}}
	}
}

// numbers gives each of the new names a number: its own where it stays, else one that nobody has, else a further one.
// at tells, for each number, which of the new names has it, or -1; from whose learning it goes on with, by the old
// numbers, or -1.
func numbers(used []bool, names []string, of func(k int) (stays, learned int)) (at, from []int) {
	at, from = make([]int, len(used)), make([]int, len(used))
	for i := range at {
		at[i], from[i] = -1, i
	}
	for k := range names {
		if i, _ := of(k); i >= 0 {
			at[i] = k
		}
	}
	for k := range names {
		stays, learned := of(k)
		if stays >= 0 {
			continue
		}
		free := 0
		for free < len(at) && (at[free] >= 0 || used[free]) {
			free++
		}
		if free == len(at) {
			at, from, used = append(at, -1), append(from, -1), append(used, false)
		}
		at[free], from[free] = k, learned
	}
	for len(at) > 0 && at[len(at)-1] < 0 && !used[len(at)-1] { // nobody's, at the end
		at, from, used = at[:len(at)-1], from[:len(from)-1], used[:len(used)-1]
	}
	return at, from
}

// live is the index of those that new requests may name.
func live(at []int, names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, k := range at {
		if k >= 0 {
			m[names[k]] = i
		}
	}
	return m
}
