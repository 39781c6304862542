// Package strictjson decodes JSON that people write, such as settings. It reports
// all unknown fields and values of a wrong type with their JSON paths, not only
// the first one. Durations are strings with a unit.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/go-viper/mapstructure/v2"

	"daisyslip.dev/daisyslip/internal/check"
)

// Decode decodes one JSON object into target, a pointer to a struct whose fields
// have json tags, and adds all unknown fields and wrong types to problems. Fields
// that are missing in data keep their values. Decode returns an error if data is
// not exactly one JSON object.
func Decode(data []byte, target any, problems *check.List) error {
	raw, err := parseObject(data)
	if err != nil {
		return err
	}
	decodeStruct(reflect.ValueOf(target).Elem(), raw, "", problems)
	return nil
}

// parseObject parses data, which must be exactly one JSON object. Numbers are kept
// as json.Number.
func parseObject(data []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var raw map[string]any
	if err := decoder.Decode(&raw); err != nil {
		return nil, fmt.Errorf("parse JSON at byte %d: %w", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("parse JSON at byte %d: more than one object", decoder.InputOffset())
	}
	return raw, nil
}

// decodeStruct decodes raw into the fields of target and reports unknown fields.
// prefix is the path of the struct with a trailing dot, or empty at the top.
func decodeStruct(target reflect.Value, raw map[string]any, prefix string, problems *check.List) {
	known := make(map[string]bool)
	for i := range target.NumField() {
		name := target.Type().Field(i).Tag.Get("json")
		known[name] = true
		value, present := raw[name]
		if !present {
			continue
		}
		decodeField(target.Field(i), value, prefix+name, problems)
	}
	for name, value := range raw {
		if !known[name] {
			problems.Add(prefix+name, value, "no such field")
		}
	}
}

// decodeField decodes value into target. It decodes structs and lists of structs
// itself, so that problems inside of them have their own paths, and everything
// else with mapstructure.
func decodeField(target reflect.Value, value any, path string, problems *check.List) {
	section, isObject := value.(map[string]any)
	if target.Kind() == reflect.Struct && isObject {
		decodeStruct(target, section, path+".", problems)
		return
	}
	items, isList := value.([]any)
	if target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct && isList {
		decodeList(target, items, path, problems)
		return
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     target.Addr().Interface(),
		DecodeHook: mapstructure.ComposeDecodeHookFunc(rejectNumber, mapstructure.StringToTimeDurationHookFunc()),
	})
	if err == nil {
		err = decoder.Decode(value)
	}
	if err != nil {
		problems.Add(path, value, describeType(target.Type()))
	}
}

// decodeList decodes a list of objects into target, a slice of structs.
func decodeList(target reflect.Value, items []any, path string, problems *check.List) {
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		decodeField(target.Index(i), item, fmt.Sprintf("%s[%d]", path, i), problems)
	}
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	numberType   = reflect.TypeFor[json.Number]()
)

// rejectNumber is a decode hook that refuses a number where a string or a duration
// with a unit is required. Without it mapstructure would accept the number,
// because the underlying type of json.Number is string.
func rejectNumber(from, to reflect.Type, value any) (any, error) {
	if from == numberType && (to == durationType || to.Kind() == reflect.String) {
		return nil, errors.New("number in place of a string")
	}
	return value, nil
}

// describeType describes the values that a field of type t takes, for the author
// of the document.
func describeType(t reflect.Type) string {
	if t == durationType {
		return `a duration such as "250ms"`
	}
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	}
	return "a whole number"
}
