// Package tomlfile reads TOML files strictly: an unknown key, a value of the wrong type or a value that its owner
// rejects is one error that names file, line, field and reason.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FieldError is a field that the owner of a value rejects. Path is the field's dotted path, with the index of an array of
// tables as in "fault[2].at_ms".
type FieldError struct {
	Path, Reason string
}

// Error names the field first.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// FieldErrorf returns an *Invalid.
func FieldErrorf(path, format string, args ...any) error {
	return &FieldError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// Checker is a value that can check itself; an *Invalid names the field at fault.
type Checker interface{ Check() error }

// Load reads the file into value and checks it.
func Load(file string, value any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return Decode(file, raw, value)
}

// Decode reads raw, the contents of the named file, into value and checks value if it is a Checker.
func Decode(file string, raw []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return locateDecodeError(file, err)
	}
	if checker, ok := value.(Checker); ok {
		return locateFieldError(file, raw, checker.Check())
	}
	return nil
}

// locateDecodeError adds file, line and field to an error of the decoder.
func locateDecodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("%s:%d: %s: there is no such field", file, row, strings.Join(first.Key(), "."))
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		row, _ := malformed.Position()
		field := strings.Join(malformed.Key(), ".")
		if field != "" {
			field += ": "
		}
		return fmt.Errorf("%s:%d: %s%s", file, row, field, strings.TrimPrefix(malformed.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", file, err)
}

// locateFieldError adds file and line to an *Invalid, and returns any other error as it is.
func locateFieldError(file string, raw []byte, err error) error {
	var invalid *FieldError
	if !errors.As(err, &invalid) {
		return err
	}
	if line := FieldLine(raw, invalid.Path); line > 0 {
		return fmt.Errorf("%s:%d: %w", file, line, invalid)
	}
	return fmt.Errorf("%s: %w", file, invalid)
}
