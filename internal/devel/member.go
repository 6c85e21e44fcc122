package devel

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// membersFile stores the first members of the control group next to their data
// folders. The group persists their addresses, so a deployment that is started
// again must use the same ones.
const membersFile = "members.json"

// firstMembers returns the n first members of the control group: those stored in
// the folder, or new ones on free ports, which it stores. Their ids come from
// their data folders, which are created if needed.
func firstMembers(folder string, n int, dataFolder func(int) string) ([]quorum.Member, error) {
	var members []quorum.Member
	path := filepath.Join(folder, membersFile)
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &members)
		return members, errors.Wrapf(err, "list of members %s cannot be decoded: remove the data folder", path)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Wrap(err, "list of members cannot be read")
	}
	for i := range n {
		id, err := ctrl.Identify(dataFolder(i))
		if err != nil {
			return nil, err
		}
		address, err := ports.Free()
		if err != nil {
			return nil, err
		}
		members = append(members, quorum.Member{
			ID:      id,
			Address: address,
			Voter:   true,
		})
	}
	raw, err = json.Marshal(members)
	if err != nil {
		return nil, err
	}
	return members, errors.Wrap(os.WriteFile(path, raw, 0o600), "list of members cannot be written")
}
