package main

import (
	"slices"
	"strings"
)

// renamedCommands are sub-commands that had another name in earlier versions: scripts that use the old one keep working.
var renamedCommands = []struct {
	old     []string
	current []string
}{
	{[]string{"lab"}, []string{"simulate"}},
	{[]string{"world"}, []string{"cluster"}},
	{[]string{"roll"}, []string{"rollout"}},
	{[]string{"lease", "seats"}, []string{"lease", "slots"}},
}

// renamedFlags are flags that had another name in earlier versions, by the sub-command that has them.
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

// translateLegacyNames replaces names of earlier versions in a command line by the current ones. Arguments after "--" belong
// to another program and stay as they are.
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

func hasPrefix(args, prefix []string) bool {
	return len(args) >= len(prefix) && slices.Equal(args[:len(prefix)], prefix)
}

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
