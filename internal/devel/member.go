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

// membersFile keeps the first members next to their data folders: the group
// remembers their addresses, so a deployment that is started again needs them.
const membersFile = "members.json"

// firstMembers returns the first members of the control group. Their ids come
// from their data folders, which are made if needed.
func firstMembers(folder string, n int, dataFolder func(int) string) ([]quorum.Member, error) {
	var members []quorum.Member
	name := filepath.Join(folder, membersFile)
	raw, err := os.ReadFile(name)
	if err == nil {
		err = json.Unmarshal(raw, &members)
		return members, errors.Wrapf(err, "list of members %s cannot be decoded: remove the data folder", name)
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
	return members, errors.Wrap(os.WriteFile(name, raw, 0o600), "list of members cannot be written")
}
