package main

import (
	"slices"
	"strings"
)

// renamedCommands lists sub-commands that had another name in earlier versions, so that scripts that use the old name
// keep working.
var renamedCommands = []struct {
	old     []string
	current []string
}{
	{[]string{"lab"}, []string{"simulate"}},
	{[]string{"world"}, []string{"cluster"}},
	{[]string{"roll"}, []string{"rollout"}},
	{[]string{"lease", "seats"}, []string{"lease", "slots"}},
}

// renamedFlags lists flags that had another name in earlier versions, with the sub-command that they belong to.
var renamedFlags = []struct {
	command []string
	old     string
	current string
}{
	{[]string{"load", "proxy"}, "--box", "--backend"},
	{[]string{"load", "find"}, "--refused", "--rejected"},
	{[]string{"load", "find"}, "--sure", "--confirmations"},
	{[]string{"simulate", "cost"}, "--hosts", "--endpoints"},
	{[]string{"simulate", "processes"}, "--at-once", "--parallel"},
	{[]string{"rollout"}, "--at-once", "--max-unavailable"},
	{[]string{"rollout"}, "--settle", "--drain-delay"},
	{[]string{"rollout"}, "--up", "--ready-timeout"},
}

// translateLegacyNames replaces names of sub-commands and flags from earlier versions in a command line by the current
// names. Arguments after "--" belong to another program and are not changed.
func translateLegacyNames(args []string) []string {
	if len(args) < 2 {
		return args
	}
	program, rest := args[0], slices.Clone(args[1:])
	for _, renamed := range renamedCommands {
		if hasPrefix(rest, renamed.old) {
			rest = slices.Concat(renamed.current, rest[len(renamed.old):])
			break
		}
	}
	for _, renamed := range renamedFlags {
		if hasPrefix(rest, renamed.command) {
			renameFlag(rest, renamed.old, renamed.current)
		}
	}
	return append([]string{program}, rest...)
}

// hasPrefix reports whether args begins with the elements of prefix.
func hasPrefix(args, prefix []string) bool {
	return len(args) >= len(prefix) && slices.Equal(args[:len(prefix)], prefix)
}

// renameFlag replaces the flag old by current in args, up to "--". It modifies args in place.
func renameFlag(args []string, old, current string) {
	for i, arg := range args {
		if arg == "--" {
			return
		}
		if arg == old {
			args[i] = current
		} else if value, found := strings.CutPrefix(arg, old+"="); found {
			args[i] = current + "=" + value
		}
	}
}
