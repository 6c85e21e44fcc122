package core

import (
	"context"

	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Status returns this member's view of the group.
func (c *Core) Status(ctx context.Context) (quorum.Status, bool) { return c.status(ctx) }
