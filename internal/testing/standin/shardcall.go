package standin

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// timeoutAttribute is the attribute of a call that holds its time limit in milliseconds.
const timeoutAttribute = "d"

// ShardCall is a call to a shard server.
type ShardCall struct {
	ID            string
	Shard         int
	TimeoutMillis int64             // of the gatherer
	Attributes    map[string]string // the line's other attributes by name
	Query         []byte
}

// parseShardCall parses the first call of a frame, a line "ID SHARD ATTRIBUTES LENGTH" and the query, and returns the remaining
// bytes.
func parseShardCall(b []byte) (call ShardCall, rest []byte, err error) {
	line, content, _ := bytes.Cut(b, []byte{'\n'})
	fields := strings.Fields(string(line))
	if len(fields) != 4 {
		return call, nil, fmt.Errorf("malformed call line %q", line)
	}
	call.ID = fields[0]
	if call.Shard, err = strconv.Atoi(fields[1]); err != nil {
		return call, nil, fmt.Errorf("malformed shard in call line %q: %w", line, err)
	}
	if call.Attributes, err = parseAttributes(fields[2]); err != nil {
		return call, nil, err
	}
	if call.TimeoutMillis, err = strconv.ParseInt(call.Attributes[timeoutAttribute], 10, 64); err != nil {
		return call, nil, fmt.Errorf("call attributes %q lack a time limit: %w", fields[2], err)
	}
	delete(call.Attributes, timeoutAttribute)
	length, err := strconv.Atoi(fields[3])
	if err != nil || length < 0 || length > len(content) {
		return call, nil, fmt.Errorf("malformed length in call line %q, %d bytes follow", line, len(content))
	}
	call.Query = content[:length]
	return call, content[length:], nil
}

// parseAttributes parses NAME=VALUE pairs separated by commas.
func parseAttributes(text string) (map[string]string, error) {
	attributes := map[string]string{}
	for _, item := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(item, "=")
		if _, duplicate := attributes[name]; !ok || duplicate {
			return nil, fmt.Errorf("malformed call attributes %q", text)
		}
		attributes[name] = value
	}
	return attributes, nil
}
