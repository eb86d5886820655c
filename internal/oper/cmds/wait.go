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
// table. It returns an error if the server's event queue is full or ctx ends first.
func waitRevision(ctx context.Context, s *server.Server, revision units.Offset) error {
	for {
		var next units.Offset
		if !s.Query(ctx, func(c *entry.Core) { next = c.Table.Next() }) {
			return errors.New("the entry VM gave no answer in time")
		}
		if next >= revision {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}
