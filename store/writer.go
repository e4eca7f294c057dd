package store

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"syscall"
	"time"
)

// pendingCommit is a commit, or a request for a compaction, that waits for the writer.
type pendingCommit struct {
	ops        []Op
	done       func(error)
	compaction bool // compact; there are no ops
}

// maxGroupSize is the size in bytes from which on a group of commits takes no more.
const maxGroupSize = 1 << 20

// run is the writer's goroutine.
func (s *Store) run() {
	defer close(s.done)
	defer s.unlock()
	for open := true; open; {
		select {
		case <-s.wake:
			if s.options.CommitDelay > 0 {
				time.Sleep(s.options.CommitDelay)
			}
			s.writeQueued()
		case c := <-s.compaction:
			s.finishCompaction(c)
		case <-s.quit:
			open = false
		}
	}
	s.writeQueued()
	if s.compaction != nil {
		s.finishCompaction(<-s.compaction)
	}
	if s.failed() == nil {
		s.writeWatermark()
	}
	s.closeLogs()
	s.mu.Lock()
	if s.failure == nil {
		s.failure = ErrClosed
	}
	s.mu.Unlock()
}

// failed returns why the store accepts no more commits, or nil.
func (s *Store) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// fail ends writing until the store is opened again.
func (s *Store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = fmt.Errorf("%w: %w", ErrFailed, err)
	}
}

// writeQueued writes all that is queued, a group at a time.
func (s *Store) writeQueued() {
	for {
		group := s.nextGroup()
		if len(group) == 0 {
			return
		}
		s.writeGroup(group)
		select {
		case c := <-s.compaction:
			s.finishCompaction(c)
		default:
		}
	}
}

// nextGroup takes a group off the queue.
func (s *Store) nextGroup() []*pendingCommit {
	s.mu.Lock()
	defer s.mu.Unlock()
	length, size := 0, 0
	for length < len(s.queue) && size < maxGroupSize {
		for _, op := range s.queue[length].ops {
			size += len(op.Key) + len(op.Value)
		}
		length++
	}
	group := s.queue[:length]
	s.queue = s.queue[length:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return group
}

// writeGroup writes the commits of a group and calls their done functions, and then compacts for those that ask for it.
func (s *Store) writeGroup(group []*pendingCommit) {
	failure := s.failed()
	e := groupEncoding{nextRecord: s.nextRecord, lastChecksum: s.lastChecksum}
	var compactions []*pendingCommit
	for _, p := range group {
		if p.compaction {
			compactions = append(compactions, p)
		} else if err := e.add(p, s.salt); err != nil {
			p.done(err)
		}
	}
	if len(e.commits) > 0 {
		s.writeCommits(&e, failure)
	}
	for _, p := range slices.Backward(compactions) {
		p.done(s.compactAndWait())
	}
}

// groupEncoding is the records of a group of commits.
type groupEncoding struct {
	commits      []*pendingCommit
	bytes        []byte
	nextRecord   uint64
	lastChecksum checksum
}

func (e *groupEncoding) add(p *pendingCommit, salt checksum) error {
	body := encodeOps(p.ops)
	if len(body) > maxRecordSize {
		return fmt.Errorf("a commit of %d bytes is larger than the limit of %d", len(body), maxRecordSize)
	}
	e.bytes, e.lastChecksum = appendRecord(e.bytes, salt, e.nextRecord, body)
	e.nextRecord++
	e.commits = append(e.commits, p)
	return nil
}

// writeCommits writes the records of a group, unless err is set already, and applies and acknowledges its commits.
func (s *Store) writeCommits(e *groupEncoding, err error) {
	if err == nil && s.options.MaxBytes > 0 && s.mirrorBytes()+int64(len(e.bytes)) > s.options.MaxBytes {
		err = ErrFull
	}
	if err == nil {
		err = s.appendToLogs(e.bytes)
	}
	if err != nil {
		for _, p := range e.commits {
			p.done(err)
		}
		s.maybeCompact() // may make room if the store is full
		return
	}
	s.nextRecord, s.lastChecksum = e.nextRecord, e.lastChecksum
	s.logSize += int64(len(e.bytes))
	s.applyCommits(e.commits)
	for _, p := range e.commits {
		p.done(nil)
	}
	if s.logSize >= s.options.SegmentSize {
		if err := s.startLog(); err != nil {
			s.fail(err)
		}
	}
	s.maybeCompact()
}

// applyCommits changes the index and the figures.
func (s *Store) applyCommits(commits []*pendingCommit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range commits {
		for _, op := range p.ops {
			s.apply(op)
		}
	}
	s.stats.Commits += int64(len(commits))
	s.stats.Syncs++
	s.stats.LastRecord = s.nextRecord - 1
	s.stats.MirrorBytes, s.stats.Files = s.mirrorBytes(), len(s.fileSizes)+1
}

func (s *Store) apply(op Op) {
	table := s.index[op.Table]
	if previous, ok := table[op.Key]; ok {
		s.liveBytes -= entrySize(op.Key, previous)
		delete(table, op.Key)
	}
	if op.Delete {
		return
	}
	if table == nil {
		table = map[string][]byte{}
		s.index[op.Table] = table
	}
	table[op.Key] = slices.Clone(op.Value)
	s.liveBytes += entrySize(op.Key, op.Value)
}

// appendToLogs appends bytes to both logs and makes them durable. After a failed write, as on a full disk, both logs are
// truncated and a later write may succeed. A failed sync is never repeated: which bytes are durable is unknown, and a second
// sync may succeed without having written anything.
func (s *Store) appendToLogs(b []byte) error {
	if err := s.forEachLog(writeLog, b); err != nil {
		for _, f := range s.logs {
			if truncateErr := f.Truncate(s.logSize); truncateErr != nil {
				s.fail(errors.Join(err, truncateErr))
				return s.failed()
			}
		}
		if isDiskFull(err) {
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		return err
	}
	if err := s.forEachLog(syncLog, nil); err != nil {
		s.fail(err)
		return s.failed()
	}
	return nil
}

func writeLog(f File, b []byte) error {
	_, err := f.Write(b)
	return err
}

func syncLog(f File, _ []byte) error { return f.Sync() }

// forEachLog calls do for both logs concurrently and joins the errors.
func (s *Store) forEachLog(do func(f File, b []byte) error, b []byte) error {
	for i, f := range s.logs {
		s.logWork.Add(1)
		go func() {
			defer s.logWork.Done()
			s.logErrors[i] = do(f, b)
		}()
	}
	s.logWork.Wait()
	return errors.Join(s.logErrors[0], s.logErrors[1])
}

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// startLog closes the current log and starts the next one in both mirrors.
func (s *Store) startLog() error {
	if s.logs[0] != nil {
		s.fileSizes[logName(s.logNumber)] = s.logSize
	}
	s.closeLogs()
	s.logs = [2]File{}
	s.logNumber++
	h := header{version: Version, kind: kindLog, file: s.logNumber, first: s.nextRecord, storeID: s.id, chain: s.lastChecksum}
	b := h.encode()
	for i, mirror := range mirrors {
		f, err := s.files.Create(path.Join(mirror, logName(s.logNumber)))
		if err != nil {
			return err
		}
		s.logs[i] = f
		if _, err := f.Write(b); err != nil {
			return err
		}
		if err := f.Sync(); err != nil {
			return err
		}
		if err := s.files.SyncDir(mirror); err != nil {
			return err
		}
	}
	s.salt, s.logSize = headerChecksum(b), int64(len(b))
	return s.writeWatermark()
}

func (s *Store) closeLogs() {
	for _, f := range s.logs {
		if f != nil {
			f.Close()
		}
	}
}

// writeWatermark records the number of the next record in a file outside the mirrors, so that a truncation of both logs is
// detected. It is written when a log is started and when the store is closed; later records are not covered by it.
func (s *Store) writeWatermark() error {
	err := s.writeAtomically(temporaryWatermark, watermarkName, encodeWatermark(s.id, s.nextRecord))
	if err != nil {
		s.fail(err)
	}
	return err
}

// writeAtomically writes a file under a temporary name, makes it durable and renames it.
func (s *Store) writeAtomically(temporary, name string, b []byte) error {
	f, err := s.files.Create(temporary)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.files.Rename(temporary, name); err != nil {
		return err
	}
	return s.files.SyncDir(path.Dir(name))
}

// mirrorBytes is the size of one mirror's files.
func (s *Store) mirrorBytes() int64 {
	bytes := s.logSize
	for _, size := range s.fileSizes {
		bytes += size
	}
	return bytes
}
