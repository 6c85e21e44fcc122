package launch

import (
	"context"
	"errors"

	"github.com/jujubethread/jujubethread/internal/bench"
)

func (j *job) bench(ctx context.Context) error {
	met, err := bench.Run(ctx, bench.Config{
		Names:    j.opt.Args,
		Seed:     j.opt.Seed,
		Duration: j.opt.Duration,
		Out:      j.out,
		Progress: j.errOut,
	})
	var unknown *bench.UnknownName
	switch {
	case errors.As(err, &unknown):
		return &usageError{text: err.Error()}
	case err != nil:
		return err
	case !met:
		return &exitError{
			code: exitUnmet,
			text: "a bound was not met: see the lines with Met false",
		}
	}
	return nil
}
