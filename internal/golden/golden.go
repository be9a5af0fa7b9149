// Package golden checks JSON encodings against files that an earlier version of the program wrote.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"
)

var strictJSON = jsoniter.Config{DisallowUnknownFields: true}.Froze()

// Folder holds the golden files of a package, one for each encoded type.
const Folder = "testdata/encoding"

// Check decodes each golden file of the package under test into a new value of the type of its entry
// in types, and encodes it again as the program does. It fails if a type does not know a field of its
// file, if the encoding differs from the file, or if a file and its entry are not both there. It
// guards against changed names in messages and stored data, which other versions of the program could
// no longer read. A golden file must not be edited to get a pass: other versions still use its names.
func Check(t *testing.T, types map[string]any) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(Folder, "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		if types[name] == nil {
			t.Errorf("%s: no type is given for this file", file)
		}
	}
	for name, v := range types {
		t.Run(name, func(t *testing.T) { checkFile(t, filepath.Join(Folder, name+".json"), reflect.TypeOf(v)) })
	}
}

func checkFile(t *testing.T, file string, typ reflect.Type) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := json.Compact(&want, text); err != nil {
		t.Fatal(err)
	}
	v := reflect.New(typ).Interface()
	if err := strictJSON.Unmarshal(text, v); err != nil {
		t.Fatalf("decoding the old encoding: %v", err)
	}
	got, err := jsoniter.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Errorf("encoded as\n%s\nwant\n%s", got, want.Bytes())
	}
}
