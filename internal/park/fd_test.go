//go:build linux

package park

import "golang.org/x/sys/unix"

func readFD(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

func writeFD(fd int, b []byte) error {
	_, err := unix.Write(fd, b)
	return err
}
