package devel

import "time"

const (
	freePort = "127.0.0.1:0"

	defaultMedian = 4 * time.Millisecond
	defaultSigma  = 0.3 // of the logarithm of the service time

	// leafWaiting is the wait queue of a stand-in upstream, in requests.
	leafWaiting = 16

	startTimeout = 20 * time.Second
	retryPause   = 20 * time.Millisecond
)
