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

// walk compares a value of the file with the Go type that it is decoded into.
func (c *checker) walk(v *hujson.Value, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == durationType:
		c.duration(v, path)
	case t.Kind() == reflect.Struct:
		c.object(v, t, path)
	case t.Kind() == reflect.Slice:
		c.array(v, t, path)
	default:
		c.scalar(v, t, path)
	}
}

func (c *checker) object(v *hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.wrongType(v, path, "an object")
		return
	}
	fields, names := structFields(t)
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		sub := join(path, name)
		field, ok := fields[name]
		switch {
		case !ok:
			c.at(m.Name.StartOffset, KindUnknown, sub, strings.Join(names, ", "), "the field %q is not known", name)
		case seen[name]:
			c.at(m.Name.StartOffset, KindValue, sub, "one value", "the field is given twice")
		default:
			c.walk(&m.Value, field, sub)
		}
		seen[name] = true
	}
}

func (c *checker) array(v *hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		c.wrongType(v, path, "an array")
		return
	}
	for i := range arr.Elements {
		c.walk(&arr.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *checker) duration(v *hujson.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		c.wrongType(v, path, durationForm)
		return
	}
	if _, err := time.ParseDuration(lit.String()); err != nil {
		c.at(v.StartOffset, KindType, path, durationForm, "%q is not a duration", lit.String())
	}
}

// scalar checks strings, booleans and numbers.
func (c *checker) scalar(v *hujson.Value, t reflect.Type, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		c.wrongType(v, path, scalarName(t))
		return
	}
	want := map[reflect.Kind]string{reflect.String: `"`, reflect.Bool: "tf"}[t.Kind()]
	if want == "" {
		want = "0"
	}
	if !strings.ContainsRune(want, rune(lit.Kind())) {
		c.wrongType(v, path, scalarName(t))
		return
	}
	// The decoder refuses numbers that do not fit, such as fractions.
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		c.at(v.StartOffset, KindType, path, scalarName(t), "%s is out of range", lit)
	}
}

func (c *checker) wrongType(v *hujson.Value, path, want string) {
	c.at(v.StartOffset, KindType, path, want, "the value is %s", valueName(v))
}

// structFields returns the types of the JSON fields and their names in order.
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

func join(path, name string) string {
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

// find returns the value at a path such as "classes[1].staleness", or the
// nearest value around it that the file contains.
func (c *checker) find(path string) *hujson.Value {
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

// given reports whether the file contains the field.
func (c *checker) given(path string) bool {
	i := strings.LastIndexByte(path, '.')
	if i < 0 {
		return child(&c.root, path) != nil
	}
	return child(c.find(path[:i]), path[i+1:]) != nil
}
