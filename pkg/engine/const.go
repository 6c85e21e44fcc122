package engine

import "time"

const (
	// probeAfter is the silence after which an upstream is probed. Twenty
	// hosts then cost an idle upstream 20 small requests a second.
	probeAfter = time.Second

	// probeLost is the time after which a probe without a result is repeated.
	probeLost = 3 * time.Second

	// replyMargin and replyMarginShare bound how long before its deadline a
	// query ends, so that the answer still reaches the caller in time.
	replyMargin      = 5 * time.Millisecond
	replyMarginShare = 20

	// maxHeld bounds the versions remembered per upstream and shard.
	maxHeld = 16
)
