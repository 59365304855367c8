package settings

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// UnmarshalJSON decodes a tree. It returns one FindingsError with all syntax errors,
// unknown settings and duplicates. It does not validate the values; Check does.
func (t *Tree) UnmarshalJSON(data []byte) error {
	var findings Findings
	builder := newBuilder(Tree{})
	err := forEachMember(data, func(key string, raw json.RawMessage, repeated bool) {
		path, err := ParsePath(key)
		switch {
		case err != nil:
			findings.add(Path{}, "", "%v", trace.UserMessage(err))
			return
		case repeated:
			findings.add(path, "", "the node is given twice")
			return
		}
		values, found := decodeValues(path, raw)
		findings = append(findings, found...)
		builder.set(path, &values)
	})
	if err != nil {
		findings.add(Path{}, "", "%v", err)
	}
	if err := findings.Err(); err != nil {
		return err
	}
	*t = builder.tree
	return nil
}

// MarshalJSON encodes the tree as one object that maps paths to values, in the
// order of All.
func (t Tree) MarshalJSON() ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte('{')
	for path, values := range t.All() {
		if buffer.Len() > 1 {
			buffer.WriteByte(',')
		}
		buffer.WriteByte('"')
		buffer.WriteString(path.String())
		buffer.WriteString(`":`)
		buffer.Write(values.encode())
	}
	buffer.WriteByte('}')
	return buffer.Bytes(), nil
}

// decodeValues decodes the values of the node at path, with a finding for each
// setting that is unknown, repeated or malformed.
func decodeValues(path Path, data []byte) (Values, Findings) {
	var (
		values   Values
		findings Findings
	)
	err := forEachMember(data, func(key string, raw json.RawMessage, repeated bool) {
		f, ok := findField(Field(key))
		switch {
		case !ok:
			findings.add(path, Field(key), "unknown setting")
		case repeated:
			findings.add(path, f.name, "given twice")
		default:
			if err := f.decode(&values, raw); err != nil {
				findings.add(path, f.name, "%v", trace.UserMessage(err))
			}
		}
	})
	if err != nil {
		findings.add(path, "", "%v", err)
	}
	return values, findings
}

// forEachMember calls visit for every member of a JSON object, in order. repeated
// tells whether an earlier member has the same key.
func forEachMember(data []byte, visit func(key string, value json.RawMessage, repeated bool)) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return trace.BadParameter("want a JSON object")
	}
	seen := make(map[string]bool)
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return trace.BadParameter("%v", err)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return trace.BadParameter("value of %v: %v", key, err)
		}
		name, _ := key.(string)
		visit(name, value, seen[name])
		seen[name] = true
	}
	if _, err := decoder.Token(); err != nil {
		return trace.BadParameter("%v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return trace.BadParameter("unexpected data after the JSON object")
	}
	return nil
}
