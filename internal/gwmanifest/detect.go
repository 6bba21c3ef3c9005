package gwmanifest

import (
	"reflect"

	"github.com/tailscale/hujson"
)

// FileKind is the kind of a configuration file.
type FileKind string

// Kinds of configuration files.
const (
	FileManifest FileKind = "manifest"
	FileSettings FileKind = "settings"
)

// DetectKind detects from the top-level fields whether text is a manifest or settings; ok
// is false if it resembles neither.
func DetectKind(text []byte) (kind FileKind, ok bool) {
	if _, deep := tooDeep(text); deep || len(text) > MaxFileBytes {
		return "", false
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return "", false
	}
	obj, isObject := root.Value.(*hujson.Object)
	if !isObject {
		return "", false
	}
	manifest, _ := structFields(reflect.TypeFor[Manifest]())
	settings, _ := structFields(reflect.TypeFor[Settings]())
	score := 0
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if _, ok := manifest[name]; ok {
			score++
		}
		if _, ok := settings[name]; ok {
			score--
		}
	}
	switch {
	case score > 0:
		return FileManifest, true
	case score < 0:
		return FileSettings, true
	default:
		return "", false
	}
}
