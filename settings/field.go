package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Field is the JSON name of a setting.
type Field string

// fieldInfo locates a setting in Values by the index of its struct field.
type fieldInfo struct {
	name  Field
	index int
}

// _fields are all settings, in the order of the fields of Values.
var _fields = fieldsOf(reflect.TypeFor[Values]())

// Fields returns the names of all settings, in the order of the fields of Values.
func Fields() []Field {
	names := make([]Field, len(_fields))
	for i, f := range _fields {
		names[i] = f.name
	}
	return names
}

// Get returns the JSON encoding of one setting, and whether it is set.
func (v Values) Get(name Field) (json.RawMessage, bool) {
	f, ok := findField(name)
	if !ok || !f.isSet(v) {
		return nil, false
	}
	data, err := json.Marshal(f.valueIn(v).Interface())
	return data, err == nil
}

// With returns the values with one setting replaced by a JSON value. It returns a
// BadParameter error if the setting is unknown or the value is malformed.
func (v Values) With(name Field, value json.RawMessage) (Values, error) {
	f, ok := findField(name)
	if !ok {
		return v, unknownFieldError(name)
	}
	if err := f.decode(&v, value); err != nil {
		return v, trace.Wrap(err, "setting %s", name)
	}
	return v, nil
}

// Without returns the values with one setting unset. It returns a BadParameter
// error if the setting is unknown.
func (v Values) Without(name Field) (Values, error) {
	f, ok := findField(name)
	if !ok {
		return v, unknownFieldError(name)
	}
	reflect.ValueOf(&v).Elem().Field(f.index).SetZero()
	return v, nil
}

func (f fieldInfo) valueIn(v Values) reflect.Value { return reflect.ValueOf(v).Field(f.index) }

func (f fieldInfo) isSet(v Values) bool { return !f.valueIn(v).IsNil() }

// decode sets the field in v. It replaces the field's pointer or slice instead of
// writing through it, because other Values may share it.
func (f fieldInfo) decode(v *Values, data json.RawMessage) error {
	if string(data) == "null" {
		return trace.BadParameter("null is no value; unset the setting to inherit it")
	}
	field := reflect.ValueOf(v).Elem().Field(f.index)
	decoded := reflect.New(field.Type())
	if err := json.Unmarshal(data, decoded.Interface()); err != nil {
		return decodeError(err, data)
	}
	field.Set(decoded.Elem())
	return nil
}

// decodeError returns err if it is a BadParameter error already, and otherwise a
// BadParameter error that quotes the start of the malformed data.
func decodeError(err error, data []byte) error {
	if trace.IsBadParameter(err) {
		return err
	}
	const maxShown = 60
	return trace.BadParameter("%.*s: %v", maxShown, data, err)
}

func unknownFieldError(name Field) error {
	names := make([]string, len(_fields))
	for i, f := range _fields {
		names[i] = string(f.name)
	}
	return trace.BadParameter("unknown setting %q; settings are %s", name, strings.Join(names, ", "))
}

func findField(name Field) (fieldInfo, bool) {
	i := slices.IndexFunc(_fields, func(f fieldInfo) bool { return f.name == name })
	if i < 0 {
		return fieldInfo{}, false
	}
	return _fields[i], true
}

func fieldsOf(t reflect.Type) []fieldInfo {
	fields := make([]fieldInfo, t.NumField())
	for i := range fields {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[i] = fieldInfo{name: Field(name), index: i}
	}
	return fields
}
