package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// requestTimeout covers the gatherer's time to answer and the time to write the response, at most writeTimeout each.
	requestTimeout = 2 * writeTimeout
	readBuffer     = 64 << 10 // bytes
)

// Source is a stream of states; each call of Next waits for the next one.
type Source interface{ Next() (State, error) }

// Client is an operator's connection to a gatherer. Only Close is safe for concurrent use.
type Client struct {
	conn  net.Conn
	lines *bufio.Reader
}

// Dial connects to a gatherer's admin socket.
func Dial(path string) (*Client, error) {
	conn, err := net.Dial("unix", path)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReaderSize(conn, readBuffer)}, nil
}

// Close closes the connection. It may be called while Next waits, which then returns an error.
func (c *Client) Close() { c.conn.Close() }

// Do sends a request and returns the response. An error in the response is also returned as an error.
func (c *Client) Do(request Request) (response Response, err error) {
	c.conn.SetDeadline(time.Now().Add(requestTimeout))
	if err := c.send(request); err != nil {
		return response, err
	}
	if err := c.receive(&response); err != nil {
		return response, err
	}
	if response.Error != "" {
		return response, errors.New(response.Error)
	}
	return response, nil
}

// Watch starts a stream of states, which are read with Next.
func (c *Client) Watch() error { return c.send(Request{Verb: Watch}) }

// Next waits for the next state of the stream and returns it. It fails if none arrives within readTimeout.
func (c *Client) Next() (state State, err error) {
	c.conn.SetDeadline(time.Now().Add(readTimeout))
	err = c.receive(&state)
	return state, err
}

func (c *Client) send(request Request) error {
	line, err := json.Marshal(request)
	if err != nil {
		return err
	}
	_, err = c.conn.Write(append(line, '\n'))
	return err
}

func (c *Client) receive(value any) error {
	line, err := c.lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(line, value)
}

// Recorder is a Source that also writes the signals of its states to Out, as one Record in JSON per line.
type Recorder struct {
	Source
	Out io.Writer
}

// Next implements Source.
func (r Recorder) Next() (State, error) {
	state, err := r.Source.Next()
	if err != nil {
		return state, err
	}
	record := Record{At: state.At, Signals: map[string]float64{}}
	for _, signal := range state.Signals {
		if signal.Known {
			record.Signals[signal.Name] = signal.Value
		}
	}
	line, err := json.Marshal(record)
	if err == nil {
		_, err = r.Out.Write(append(line, '\n'))
	}
	return state, err
}
