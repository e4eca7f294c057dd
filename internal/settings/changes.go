package settings

import (
	"reflect"
	"slices"
	"strings"
)

// ChangedFields returns the names of the fields in which two settings differ, in the order of the file's format; those of a table as
// "table.field".
func ChangedFields(from, to *Settings) []string {
	return changedFields(reflect.ValueOf(*from), reflect.ValueOf(*to), "")
}

func changedFields(from, to reflect.Value, prefix string) (names []string) {
	for i := range from.NumField() {
		field, a, b := from.Type().Field(i), from.Field(i), to.Field(i)
		name := prefix + field.Tag.Get("toml")
		switch {
		case strings.HasSuffix(name, "-"): // derived from other fields
		case a.Kind() == reflect.Struct:
			names = append(names, changedFields(a, b, name+".")...)
		case !reflect.DeepEqual(a.Interface(), b.Interface()):
			names = append(names, name)
		}
	}
	return slices.Clip(names)
}
