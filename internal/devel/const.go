package devel

import "time"

const (
	// freePort is a loopback address with a port that the system chooses.
	freePort = "127.0.0.1:0"

	defaultServiceMedian = 4 * time.Millisecond
	defaultServiceSigma  = 0.3 // of the logarithm of the service time

	// leafQueueBound bounds the wait queue of a stand-in upstream, in requests.
	leafQueueBound = 16

	startTimeout       = 20 * time.Second
	leaderPollInterval = 20 * time.Millisecond
)
