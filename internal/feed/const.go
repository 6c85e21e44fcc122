package feed

import "time"

const (
	// deltasPerUpdate and upstreamsPerPart keep messages well below the limit of the link.
	deltasPerUpdate  = 256
	upstreamsPerPart = 2048

	// aliveEvery is the time between updates that only tell the version.
	aliveEvery = time.Second
)
