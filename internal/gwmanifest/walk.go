package gwmanifest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var durationType = reflect.TypeFor[Duration]()

// checkType checks that a value of the file, with all that it contains, can be decoded
// into the Go type t.
func (c *checker) checkType(v *hujson.Value, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == durationType:
		c.checkDuration(v, path)
	case t.Kind() == reflect.Struct:
		c.checkObject(v, t, path)
	case t.Kind() == reflect.Slice:
		c.checkArray(v, t, path)
	default:
		c.checkScalar(v, t, path)
	}
}

func (c *checker) checkObject(v *hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addWrongType(v, path, "an object")
		return
	}
	fields, names := structFields(t)
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		sub := joinPath(path, name)
		field, ok := fields[name]
		switch {
		case !ok:
			c.addProblem(m.Name.StartOffset, KindUnknown, sub, strings.Join(names, ", "), "the field %q is not known", name)
		case seen[name]:
			c.addProblem(m.Name.StartOffset, KindValue, sub, "one value", "the field is given twice")
		default:
			c.checkType(&m.Value, field, sub)
		}
		seen[name] = true
	}
}

func (c *checker) checkArray(v *hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		c.addWrongType(v, path, "an array")
		return
	}
	for i := range arr.Elements {
		c.checkType(&arr.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *checker) checkDuration(v *hujson.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		c.addWrongType(v, path, durationFormat)
		return
	}
	if _, err := time.ParseDuration(lit.String()); err != nil {
		c.addProblem(v.StartOffset, KindType, path, durationFormat, "%q is not a duration", lit.String())
	}
}

// checkScalar checks strings, booleans and numbers.
func (c *checker) checkScalar(v *hujson.Value, t reflect.Type, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		c.addWrongType(v, path, scalarName(t))
		return
	}
	want := map[reflect.Kind]string{reflect.String: `"`, reflect.Bool: "tf"}[t.Kind()]
	if want == "" {
		want = "0"
	}
	if !strings.ContainsRune(want, rune(lit.Kind())) {
		c.addWrongType(v, path, scalarName(t))
		return
	}
	// Decoding fails for numbers that the type cannot hold, such as fractions.
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		c.addProblem(v.StartOffset, KindType, path, scalarName(t), "%s is out of range", lit)
	}
}

func (c *checker) addWrongType(v *hujson.Value, path, want string) {
	c.addProblem(v.StartOffset, KindType, path, want, "the value is %s", valueName(v))
}

// structFields returns the types of the fields with a JSON name by that name, and the names
// in the order of declaration.
func structFields(t reflect.Type) (map[string]reflect.Type, []string) {
	fields := map[string]reflect.Type{}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" {
			fields[name] = f.Type
			names = append(names, name)
		}
	}
	return fields, names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func scalarName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}

func valueName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "an array"
	}
}

// nearestValue returns the value at a path such as "classes[1].staleness" or, if the file
// does not contain it, the innermost enclosing value.
func (c *checker) nearestValue(path string) *hujson.Value {
	v := &c.root
	for _, part := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := child(v, part)
		if next == nil {
			return v
		}
		v = next
	}
	return v
}

func child(v *hujson.Value, part string) *hujson.Value {
	switch x := v.Value.(type) {
	case *hujson.Object:
		for i := range x.Members {
			if x.Members[i].Name.Value.(hujson.Literal).String() == part {
				return &x.Members[i].Value
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(part); err == nil && i < len(x.Elements) {
			return &x.Elements[i]
		}
	}
	return nil
}

// isSet reports whether the file contains the field.
func (c *checker) isSet(path string) bool {
	i := strings.LastIndexByte(path, '.')
	if i < 0 {
		return child(&c.root, path) != nil
	}
	return child(c.nearestValue(path[:i]), path[i+1:]) != nil
}
