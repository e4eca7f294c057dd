package gatherer

import (
	"encoding/json"
	"strconv"
)

// encodeAnswer encodes the JSON body of an answer: whether it is complete, and the value of each shard.
func encodeAnswer(complete bool, values []shardValue) []byte {
	b := append([]byte(`{"full":`), strconv.FormatBool(complete)...)
	b = append(b, `,"pieces":[`...)
	for i, v := range values {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"tablet":`...)
		b = strconv.AppendInt(b, int64(v.shard), 10)
		b = append(b, `,"cell":`...)
		b = append(appendQuoted(b, v.value), '}')
	}
	return append(b, `]}`...)
}

// appendQuoted appends text, which must be valid UTF-8, as a JSON string. Text without control characters, quotes and
// backslashes is copied byte for byte.
func appendQuoted(b []byte, text string) []byte {
	for _, c := range []byte(text) {
		if c < ' ' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text)
			return append(b, quoted...)
		}
	}
	return append(append(append(b, '"'), text...), '"')
}
