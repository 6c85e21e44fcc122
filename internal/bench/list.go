package bench

// measurements lists all measurements in the order in which they run.
var measurements = []measurement{
	{name: "stragglers", run: stragglers},
	{name: "loss", run: loss},
	{name: "outage", run: outage},
	{name: "overload", run: overload},
	{name: "livestragglers", run: liveStragglers},
	{name: "liverollover", run: liveRollOver},
	{name: "connections", run: connections},
	{name: "entrycost", run: entryCost},
	{name: "propagation", run: propagation},
	{name: "controlcost", run: controlCost},
	{name: "restart", run: restart},
	{name: "scale", run: scale},
	{name: "filings", run: filings},
	{name: "soak", run: soak},
}
