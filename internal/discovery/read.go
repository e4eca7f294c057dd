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

// maxLineBytes bounds one list: those of clusters of some ten thousand servers fit.
const maxLineBytes = 4 << 20

var errLineTooLong = errors.New("a line is too long")

// read requests the list and sends its lines, or the whole answer as one line if no watch is requested.
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

func readAll(ctx context.Context, r io.Reader, lines chan<- []byte) watchEnd {
	all, err := io.ReadAll(io.LimitReader(r, maxLineBytes))
	if err != nil {
		return watchEnd{endReset, err.Error()}
	}
	select {
	case lines <- all:
	case <-ctx.Done():
	}
	return watchEnd{reason: endListed}
}

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

// readLine reads a line with its end. It returns errLineTooLong above maxLineBytes.
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
