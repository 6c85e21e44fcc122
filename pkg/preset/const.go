package preset

import "github.com/jujubethread/jujubethread/pkg/ident"

const maxDeadlineMillis ident.Millis = 600_000

const maxQueueBound = 100_000 // queries

// Defaults returns the presets that a new deployment starts with, in the order
// ordinary, peak, maintenance.
func Defaults() []Preset {
	return []Preset{
		defaultPreset(Ordinary, 5, 10, 256),
		defaultPreset(Peak, 2, 5, 128),
		defaultPreset(Maintenance, 5, 10, 64),
	}
}

func defaultPreset(name Name, hedgePercent, retryPercent float64, queueBound int) Preset {
	return Preset{
		Name:            name,
		HedgePercent:    hedgePercent,
		RetryPercent:    retryPercent,
		SuppressPercent: 25,
		Critical: Limits{
			DeadlineMillis:     1_000,
			MinCoveragePercent: 0,
			QueueBound:         queueBound,
			ShedOrder:          0,
			Hedge:              true,
		},
		Standard: Limits{
			DeadlineMillis:     2_000,
			MinCoveragePercent: 0,
			QueueBound:         queueBound,
			ShedOrder:          1,
			Hedge:              true,
		},
		Tolerant: Limits{
			DeadlineMillis:     10_000,
			MinCoveragePercent: 0,
			QueueBound:         queueBound * 2,
			ShedOrder:          2,
			Hedge:              false,
		},
	}
}
