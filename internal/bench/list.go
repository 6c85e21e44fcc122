package bench

// measurements lists everything that can be measured, in the order of running.
var measurements = []measurement{
	{name: "stragglers", run: stragglers},
	{name: "loss", run: loss},
	{name: "outage", run: outage},
	{name: "overload", run: overload},
}
