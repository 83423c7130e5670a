package intake

import (
	"bytes"
	"math"
	"os"
	"path"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// clientPart is the part of the memory that clients may make the process hold. The rest is
// the program itself and the garbage until it is collected.
const clientPart = 0.375

// descriptorPart is the part of the descriptors that accepted connections may use. The
// rest is for links to instances and other hosts, and files.
const descriptorPart = 0.5

// givenLimit is GOMEMLIMIT, before LimitRuntime replaces it.
var givenLimit = debug.SetMemoryLimit(-1)

// Memory returns the bytes of memory that this process may use: those given, else
// GOMEMLIMIT, else the limit of its control groups or what the machine has, 0 if nothing
// is known.
func Memory(given int64) int64 {
	if given > 0 {
		return given
	}
	if givenLimit != math.MaxInt64 {
		return givenLimit
	}
	machine := int64(0)
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		machine = parseMeminfo(text)
	}
	if text, err := os.ReadFile("/proc/self/cgroup"); err == nil {
		if limit := groupLimit(groupOf(text), readGroup); limit > 0 && (machine == 0 || limit < machine) {
			return limit
		}
	}
	return machine
}

// groupOf returns the path of a process's control group (version 2).
func groupOf(text []byte) string {
	for line := range strings.Lines(string(text)) {
		if group, found := strings.CutPrefix(line, "0::"); found {
			return strings.TrimSpace(group)
		}
	}
	return ""
}

func readGroup(group string) ([]byte, error) {
	return os.ReadFile(path.Join("/sys/fs/cgroup", group, "memory.max"))
}

// groupLimit returns the lowest limit of a control group and those above it, 0 for none.
func groupLimit(group string, read func(group string) ([]byte, error)) int64 {
	lowest := int64(0)
	for ; group != ""; group = path.Dir(group) {
		if text, err := read(group); err == nil {
			if limit, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64); err == nil && (lowest == 0 || limit < lowest) {
				lowest = limit
			}
		}
		if group == "/" || group == "." {
			break
		}
	}
	return lowest
}

func parseMeminfo(text []byte) int64 {
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, "MemTotal:")
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err == nil {
			return kib << 10
		}
	}
	return 0
}

// BytesOf returns what clients may make a process hold that may use the memory.
func BytesOf(memory int64) int64 { return int64(clientPart * float64(memory)) }

// Connections returns the number of connections to accept: the given one, else a part of
// the descriptors of this process.
func Connections(given int) int {
	var limit unix.Rlimit
	if given > 0 {
		return given
	}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(descriptorPart * float64(limit.Cur))
}
