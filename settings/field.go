package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Field is the name of one setting, as in JSON.
type Field string

// fieldInfo finds a setting in Values.
type fieldInfo struct {
	name  Field
	index int
}

// _fields are the settings in the order of Values.
var _fields = fieldsOf(reflect.TypeFor[Values]())

// Fields returns the names of all settings.
func Fields() []Field {
	names := make([]Field, len(_fields))
	for i, f := range _fields {
		names[i] = f.name
	}
	return names
}

// Get returns the JSON form of one setting, and whether it is set.
func (v Values) Get(name Field) (json.RawMessage, bool) {
	f, ok := findField(name)
	if !ok || !f.isSet(v) {
		return nil, false
	}
	data, err := json.Marshal(f.of(v).Interface())
	return data, err == nil
}

// With returns the values with one setting changed to a JSON value.
func (v Values) With(name Field, value json.RawMessage) (Values, error) {
	f, ok := findField(name)
	if !ok {
		return v, unknownField(name)
	}
	if err := f.decode(&v, value); err != nil {
		return v, trace.Wrap(err, "setting %s", name)
	}
	return v, nil
}

// Without returns the values with one setting no longer set.
func (v Values) Without(name Field) (Values, error) {
	f, ok := findField(name)
	if !ok {
		return v, unknownField(name)
	}
	reflect.ValueOf(&v).Elem().Field(f.index).SetZero()
	return v, nil
}

func (f fieldInfo) of(v Values) reflect.Value { return reflect.ValueOf(v).Field(f.index) }

func (f fieldInfo) isSet(v Values) bool { return !f.of(v).IsNil() }

// decode replaces the field in v; it never writes through a shared pointer.
func (f fieldInfo) decode(v *Values, data json.RawMessage) error {
	if string(data) == "null" {
		return trace.BadParameter("null is no value; unset the setting to inherit it")
	}
	field := reflect.ValueOf(v).Elem().Field(f.index)
	fresh := reflect.New(field.Type())
	if err := json.Unmarshal(data, fresh.Interface()); err != nil {
		return describeDecode(err, data)
	}
	field.Set(fresh.Elem())
	return nil
}

func describeDecode(err error, data []byte) error {
	if trace.IsBadParameter(err) {
		return err
	}
	const shown = 60
	return trace.BadParameter("%.*s: %v", shown, data, err)
}

func unknownField(name Field) error {
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
