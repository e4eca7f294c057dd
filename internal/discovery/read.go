package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// maxLineBytes is the maximum size of one list. Lists of clusters of about ten thousand servers fit.
const maxLineBytes = 4 << 20

var errLineTooLong = errors.New("a line is longer than the limit of 4 MiB")

// read requests the list and sends the lines of the response to a channel. With an empty query, which requests the
// complete list without a watch, it sends the whole response body as one line.
func (w *Watcher) read(ctx context.Context, query string, lines chan<- []byte) watchEnd {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.addr+"/api/targets"+query, nil)
	if err != nil {
		return watchEnd{endConnect, err.Error()}
	}
	res, err := w.client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return watchEnd{endConnect, err.Error()}
		}
		return watchEnd{endReset, err.Error()}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return watchEnd{endStatus, res.Status}
	}
	r := bufio.NewReaderSize(res.Body, readBufferSize)
	if query == "" {
		return readAll(ctx, r, lines)
	}
	return readLines(ctx, r, lines)
}

// readAll sends the response body as one line. A body larger than maxLineBytes is truncated.
func readAll(ctx context.Context, r io.Reader, lines chan<- []byte) watchEnd {
	body, err := io.ReadAll(io.LimitReader(r, maxLineBytes))
	if err != nil {
		return watchEnd{endReset, err.Error()}
	}
	select {
	case lines <- body:
	case <-ctx.Done():
	}
	return watchEnd{reason: endListed}
}

// readLines sends lines, without surrounding white space, until the response or the context ends.
func readLines(ctx context.Context, r *bufio.Reader, lines chan<- []byte) watchEnd {
	for {
		line, err := readLine(r)
		switch {
		case errors.Is(err, io.EOF):
			return watchEnd{reason: endClosed}
		case errors.Is(err, errLineTooLong):
			return watchEnd{endMalformed, err.Error()}
		case err != nil:
			return watchEnd{endReset, err.Error()}
		}
		select {
		case lines <- bytes.TrimSpace(line):
		case <-ctx.Done():
			return watchEnd{reason: endReplaced}
		}
	}
}

// readLine reads a line including its line end. It returns errLineTooLong if the line exceeds maxLineBytes.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		line = append(line, chunk...)
		if len(line) > maxLineBytes {
			return nil, errLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
