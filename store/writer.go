package store

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"syscall"
	"time"
)

// pendingCommit is a commit or a request for a compaction in the writer's queue.
type pendingCommit struct {
	ops        []Op
	done       func(error)
	compaction bool // a request for a compaction, without ops
}

// maxGroupSize is the size of keys and values in bytes at which no more commits are added to a group.
const maxGroupSize = 1 << 20

// run is the writer's goroutine. It writes queued commits and ends compactions until the store is closed.
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
			s.endCompaction(c)
		case <-s.quit:
			open = false
		}
	}
	s.writeQueued()
	if s.compaction != nil {
		s.finishCompaction(<-s.compaction)
	}
	if s.failureReason() == nil {
		s.writeWatermark()
	}
	s.closeLogs()
	s.mu.Lock()
	if s.failure == nil {
		s.failure = ErrClosed
	}
	s.mu.Unlock()
}

// failureReason returns the reason why the store rejects commits, or nil.
func (s *Store) failureReason() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// fail makes the store reject all commits until it is opened again. Only the first error is kept.
func (s *Store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = fmt.Errorf("%w: %w", ErrFailed, err)
	}
}

// writeQueued writes all queued commits in groups.
func (s *Store) writeQueued() {
	for {
		group := s.nextGroup()
		if len(group) == 0 {
			return
		}
		s.writeGroup(group)
		select {
		case c := <-s.compaction:
			s.endCompaction(c)
		default:
		}
	}
}

// nextGroup removes the next group of commits from the queue and returns it.
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

// writeGroup writes the commits of a group and calls their done functions. Afterwards it runs the compactions that the group
// requests.
func (s *Store) writeGroup(group []*pendingCommit) {
	failure := s.failureReason()
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

// groupEncoding holds the encoded records of a group of commits and the state after them.
type groupEncoding struct {
	commits      []*pendingCommit
	bytes        []byte
	nextRecord   uint64
	lastChecksum checksum
}

// add appends the record of a commit. It returns an error if the record would exceed maxRecordSize.
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

// writeCommits writes the records of a group and then applies and acknowledges its commits. If err is not nil, or writing
// fails, it rejects them instead.
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
		s.maybeCompact() // may free space if the store is full
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

// applyCommits applies durable commits to the index and updates the statistics.
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

// apply applies one change to the index. The caller must hold mu.
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

// appendToLogs appends bytes to the logs of both mirrors and makes them durable. After a failed write, for example on a
// full disk, both logs are truncated to their previous size and a later write may succeed. A failed sync makes the store
// fail and is never repeated: it is unknown which bytes are durable, and a second sync may succeed without having written
// any.
func (s *Store) appendToLogs(b []byte) error {
	if err := s.forEachLog(writeLog, b); err != nil {
		for _, f := range s.logs {
			if truncateErr := f.Truncate(s.logSize); truncateErr != nil {
				s.fail(errors.Join(err, truncateErr))
				return s.failureReason()
			}
		}
		if isDiskFull(err) {
			return fmt.Errorf("%w: %w", ErrFull, err)
		}
		return err
	}
	if err := s.forEachLog(syncLog, nil); err != nil {
		s.fail(err)
		return s.failureReason()
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

// isDiskFull reports whether an error means that the disk or the disk quota is exhausted.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// startLog closes the current log file and starts the next one in both mirrors.
func (s *Store) startLog() error {
	if s.logs[0] != nil {
		s.fileSizes[logName(s.logNumber)] = s.logSize
	}
	s.closeLogs()
	s.logs = [2]File{}
	s.logNumber++
	h := header{version: Version, kind: kindLog, file: s.logNumber, first: s.nextRecord, storeID: s.id, previousChecksum: s.lastChecksum}
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

// writeWatermark stores the number of the next record in a file outside the mirrors, so that the truncation of a log in
// both mirrors is detected. It is called when a log file is started and when the store is closed; records written since
// then are not covered.
func (s *Store) writeWatermark() error {
	err := s.writeAtomically(temporaryWatermark, watermarkName, encodeWatermark(s.id, s.nextRecord))
	if err != nil {
		s.fail(err)
	}
	return err
}

// writeAtomically writes a file under a temporary name, syncs it, renames it and syncs the directory, so that after a crash
// the file has either its old or its new contents.
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

// mirrorBytes returns the total size of one mirror's files in bytes.
func (s *Store) mirrorBytes() int64 {
	bytes := s.logSize
	for _, size := range s.fileSizes {
		bytes += size
	}
	return bytes
}
