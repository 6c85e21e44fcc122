package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Process is a process that a crowd connects to.
type Process int

// Descriptors returns the number of open descriptors, 0 if the process has ended.
func (p Process) Descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p))
	return len(list)
}

// Peak returns the most memory in MB that the process has used since ResetPeak.
func (p Process) Peak() (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p))
	if err != nil {
		return 0, errors.Wrap(err, "the process has ended: read its log")
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest + " none")[0])
	return kb >> 10, errors.Wrap(err, "the status of the process has no VmHWM: run this on Linux")
}

// ResetPeak makes the kernel forget the peak. Without the right to do so, Peak returns
// that since the start of the process.
func (p Process) ResetPeak() {
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p), []byte("5"), 0)
}
