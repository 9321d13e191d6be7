// Package tomlfile reads TOML files strictly: an unknown key, a value of the wrong type, or a value that the Check
// method of the decoded document rejects, is an error of one line that names the file, the line, the field and the
// reason.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FieldError reports a field whose value a Checker rejects. Path is the dotted path of the field, with the index of an
// element of an array of tables as in "fault[2].at_ms".
type FieldError struct {
	Path, Reason string
}

// Error returns the path and the reason.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// FieldErrorf returns a *FieldError with a formatted reason.
func FieldErrorf(path, format string, args ...any) error {
	return &FieldError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// Checker is a document that validates itself. Check returns a *FieldError for an invalid field.
type Checker interface{ Check() error }

// Load reads the file and decodes it into value; see Decode.
func Load(file string, value any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return Decode(file, raw, value)
}

// Decode decodes raw, the contents of the named file, into value, and calls Check if value is a Checker.
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

// locateDecodeError adds the file, the line and the field to an error of the decoder, as far as the error has them.
func locateDecodeError(file string, err error) error {
	var unknownField *toml.StrictMissingError
	if errors.As(err, &unknownField) && len(unknownField.Errors) > 0 {
		first := unknownField.Errors[0]
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

// locateFieldError adds the file and the line to a *FieldError, and returns any other error unchanged.
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
