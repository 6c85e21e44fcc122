package ctrl

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

var changes = map[string]func([]byte) (config.Change, error){
	"SwitchPreset":   parseChange[config.SwitchPreset],
	"PutPreset":      parseChange[config.PutPreset],
	"AddUpstream":    parseChange[config.AddUpstream],
	"RetireUpstream": parseChange[config.RetireUpstream],
	"RemoveUpstream": parseChange[config.RemoveUpstream],
	"PlaceShards":    parseChange[config.PlaceShards],
	"SetSeats":       parseChange[config.SetSeats],
}

func parseChange[T config.Change](data []byte) (config.Change, error) {
	var c T
	err := parseStrict(data, &c)
	return c, err
}

// parseStrict decodes exactly one JSON value and rejects unknown fields by name.
func parseStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("there is more after the end of the document: send one document")
	}
	return nil
}

// ParseCommand decodes a command document: {"ID", "Expect", "Change"}, where
// Change is an object with one field named after the type of the change.
func ParseCommand(data []byte) (config.Command, error) {
	var doc struct {
		ID     ident.CommandID            `json:"ID"`
		Expect ident.ConfigVersion        `json:"Expect"`
		Change map[string]json.RawMessage `json:"Change"`
	}
	if err := parseStrict(data, &doc); err != nil {
		return config.Command{}, errors.Wrap(err, "command cannot be decoded: send ID, Expect and Change")
	}
	if doc.ID == "" {
		return config.Command{}, errors.New("command has no ID: choose a new one for each command and keep it when you resend")
	}
	if len(doc.Change) != 1 {
		return config.Command{}, errors.Errorf("command has %d changes: name exactly one of %s", len(doc.Change), changeNames())
	}
	cmd := config.Command{
		ID:     doc.ID,
		Expect: doc.Expect,
	}
	for name, body := range doc.Change {
		parse, ok := changes[name]
		if !ok {
			return config.Command{}, errors.Errorf("change %q does not exist: use one of %s", name, changeNames())
		}
		change, err := parse(body)
		if err != nil {
			return config.Command{}, errors.Wrapf(err, "change %s cannot be decoded", name)
		}
		cmd.Change = change
	}
	return cmd, nil
}

// FormatCommand encodes a command in the format that ParseCommand decodes.
func FormatCommand(c config.Command) ([]byte, error) {
	name := strings.TrimPrefix(typeName(c.Change), "config.")
	return json.Marshal(struct {
		ID     ident.CommandID          `json:"ID"`
		Expect ident.ConfigVersion      `json:"Expect"`
		Change map[string]config.Change `json:"Change"`
	}{
		ID:     c.ID,
		Expect: c.Expect,
		Change: map[string]config.Change{name: c.Change},
	})
}

func changeNames() string {
	names := make([]string, 0, len(changes))
	for name := range changes {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
