package consensus

import "fmt"

// discardLogger is the raft.Logger of a member. It discards raft's own messages, since the agent itself logs the events
// that matter to an operator. Fatal and Panic panic, because raft expects that they do not return.
type discardLogger struct{}

// Debug discards its arguments.
func (discardLogger) Debug(...any) {}

// Debugf discards its arguments.
func (discardLogger) Debugf(string, ...any) {}

// Error discards its arguments.
func (discardLogger) Error(...any) {}

// Errorf discards its arguments.
func (discardLogger) Errorf(string, ...any) {}

// Info discards its arguments.
func (discardLogger) Info(...any) {}

// Infof discards its arguments.
func (discardLogger) Infof(string, ...any) {}

// Warning discards its arguments.
func (discardLogger) Warning(...any) {}

// Warningf discards its arguments.
func (discardLogger) Warningf(string, ...any) {}

// Fatal panics with its arguments as the message.
func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics with a formatted message.
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics with its arguments as the message.
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics with a formatted message.
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
