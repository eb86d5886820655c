package cmds

import (
	"context"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/node/server"

	"github.com/pkg/errors"
)

// waitRevision waits until a server has applied all log records below revision to its
// table.
func waitRevision(ctx context.Context, s *server.Server, revision units.Offset) error {
	for {
		var at units.Offset
		if !s.Query(ctx, func(c *entry.Core) { at = c.Table.Next() }) {
			return errors.New("the entry VM gave no answer in time")
		}
		if at >= revision {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}
