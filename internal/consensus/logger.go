package consensus

import "fmt"

// discardLogger keeps raft's own messages out of the log: the agent logs what an operator should know. Fatal and Panic panic, as raft
// expects them not to return.
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

// Fatal panics.
func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
