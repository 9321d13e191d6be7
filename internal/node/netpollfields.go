package node

import (
	"errors"
	"net"
	"reflect"
	"runtime"
	"sync/atomic"
	"unsafe"

	"github.com/cloudwego/netpoll"
)

// This file has all access to fields of netpoll's types that netpoll does not export.

// errUnsupportedNetpoll reports that the internal structure of netpoll's types is not the one that this package
// expects.
var errUnsupportedNetpoll = errors.New("netpoll: a connection does not have the expected fields (unsupported version of netpoll?)")

// connectionField returns an unexported field of a connection. The field is addressable.
func connectionField(conn netpoll.Connection, name string) (reflect.Value, error) {
	connValue := reflect.ValueOf(conn)
	if connValue.Kind() != reflect.Pointer || connValue.Elem().Kind() != reflect.Struct {
		return reflect.Value{}, errUnsupportedNetpoll
	}
	field := connValue.Elem().FieldByName(name)
	if !field.IsValid() {
		return reflect.Value{}, errUnsupportedNetpoll
	}
	return field, nil
}

// setAddresses sets the addresses of a connection that was created from a descriptor. netpoll leaves them nil, and
// panics where it needs the remote address: when a write times out. It must be called before the connection is used.
func setAddresses(conn netpoll.Connection, local, remote net.Addr) error {
	for name, address := range map[string]net.Addr{"localAddr": local, "remoteAddr": remote} {
		field, err := connectionField(conn, name)
		if err != nil {
			return err
		}
		if field.Type() != reflect.TypeFor[net.Addr]() {
			return errUnsupportedNetpoll
		}
		*(*net.Addr)(unsafe.Pointer(field.UnsafeAddr())) = address
	}
	return nil
}

// operatorOf returns the operator of a connection, which is its registration with the poller.
func operatorOf(conn netpoll.Connection) (*netpoll.FDOperator, error) {
	field, err := connectionField(conn, "operator")
	if err != nil {
		return nil, err
	}
	if field.Type() != reflect.TypeFor[*netpoll.FDOperator]() || field.IsNil() {
		return nil, errUnsupportedNetpoll
	}
	return (*netpoll.FDOperator)(field.UnsafePointer()), nil
}

// States of netpoll's operator, as its fd_operator.go defines them.
const (
	operatorUnregistered = 0
	operatorRegistered   = 1
	operatorLocked       = 2
)

// lockOperator keeps the poller from using an operator until unlock is called. It sets the operator's state as
// netpoll's own Release does.
func lockOperator(operator *netpoll.FDOperator) (unlock func(), err error) {
	field := reflect.ValueOf(operator).Elem().FieldByName("state")
	if !field.IsValid() || field.Kind() != reflect.Int32 {
		return nil, errUnsupportedNetpoll
	}
	state := (*int32)(unsafe.Pointer(field.UnsafeAddr()))
	if atomic.LoadInt32(state) == operatorUnregistered {
		return func() {}, nil
	}
	for !atomic.CompareAndSwapInt32(state, operatorRegistered, operatorLocked) {
		runtime.Gosched()
	}
	return func() { atomic.StoreInt32(state, operatorRegistered) }, nil
}
