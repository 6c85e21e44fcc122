package feed

import "time"

const (
	// deltasPerUpdate keeps messages well below the limit of the link.
	deltasPerUpdate = 256

	// aliveEvery is the time between updates that only tell the version.
	aliveEvery = time.Second
)
