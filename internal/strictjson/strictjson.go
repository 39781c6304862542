// Package strictjson decodes JSON that people write. Unknown fields and wrong
// types are problems with their JSON paths, all of which are found at once.
// Durations are strings with a unit.
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

// Decode decodes one JSON object over target, a pointer to a struct whose
// fields have json tags, and adds every problem to problems. Fields that data
// lacks keep their values. The error is of data that is no JSON object.
func Decode(data []byte, target any, problems *check.List) error {
	raw, err := parseObject(data)
	if err != nil {
		return err
	}
	decodeStruct(reflect.ValueOf(target).Elem(), raw, "", problems)
	return nil
}

// parseObject decodes one JSON object and nothing after it.
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

// decodeStruct decodes the fields of one struct and reports unknown ones.
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

// decodeList decodes a list of objects.
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

// refuseNumber refuses a number where a string or a duration with its unit is
// wanted; json.Number is a string type, so the decoder would take it.
func rejectNumber(from, to reflect.Type, value any) (any, error) {
	if from == numberType && (to == durationType || to.Kind() == reflect.String) {
		return nil, errors.New("number in place of a string")
	}
	return value, nil
}

// wantOf describes a type to the author of the settings.
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
