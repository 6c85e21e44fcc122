package scene

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/preset"
)

// ResolveFlows returns the checked flows of the scenario: Flows, or those of Mix
// scaled to PerSecond.
func (s *Scenario) ResolveFlows() ([]Flow, error) {
	flows := s.Flows
	if s.Mix != "" {
		var err error
		if flows, err = Mix(s.Mix, s.PerSecond); err != nil {
			return nil, err
		}
	}
	if len(flows) == 0 {
		return nil, errors.New("the scenario has no callers: give Mix (amman or kr-cap) or Flows")
	}
	for _, f := range flows {
		if err := f.check(); err != nil {
			return nil, err
		}
	}
	return flows, nil
}

func (f Flow) check() error {
	switch {
	case f.Name == "":
		return errors.New("a flow has no Name: give it one")
	case f.Index == "":
		return errors.Errorf("flow %q has no Index: name the index to search", f.Name)
	case f.PerSecond <= 0 || f.PerSecond > maxFlowRate:
		return errors.Errorf("flow %q has PerSecond %v: use more than 0, to %v", f.Name, f.PerSecond, maxFlowRate)
	case f.ResendPercent < 0 || f.ResendPercent > 100:
		return errors.Errorf("flow %q has ResendPercent %v: use 0 to 100", f.Name, f.ResendPercent)
	case f.Limit < 0 || f.DeadlineMillis < 0:
		return errors.Errorf("flow %q has a negative Limit or DeadlineMillis: use 0 or more", f.Name)
	}
	return nil
}

// Mix returns the flows of an example deployment, amman or kr-cap, with rates
// that add up to perSecond.
func Mix(deployment string, perSecond float64) ([]Flow, error) {
	flows := mixShares(deployment)
	if flows == nil {
		return nil, errors.Errorf("Mix is %q: use amman or kr-cap", deployment)
	}
	if perSecond <= 0 {
		return nil, errors.Errorf("PerSecond is %v: give the rate of the mix", perSecond)
	}
	sum := 0.0
	for _, f := range flows {
		sum += f.PerSecond
	}
	for i := range flows {
		flows[i].PerSecond *= perSecond / sum
	}
	return flows, nil
}

// mixShares returns the flows of a deployment with their relative rates, or nil if
// it is unknown. A committee lookup has no Limit because it reads a complete
// history; a precedent search needs only the best matches.
func mixShares(deployment string) []Flow {
	switch deployment {
	case "amman":
		return []Flow{
			{Name: "committee lookup", Index: "review-panel", Class: preset.Critical, PerSecond: 45, DeadlineMillis: 1_000},
			{Name: "dean report", Index: "dean-reports", Class: preset.Standard, PerSecond: 20, DeadlineMillis: 2_000},
			{Name: "status check", Index: "student-desk", Class: preset.Tolerant, PerSecond: 30, DeadlineMillis: 10_000},
			{Name: "registry sync", Index: "registry-sync", Class: preset.Tolerant, PerSecond: 5, DeadlineMillis: 10_000},
		}
	case "kr-cap":
		return []Flow{
			{Name: "clause lookup", Index: "draftdesk", Class: preset.Critical, PerSecond: 40, DeadlineMillis: 500, Limit: 20},
			{Name: "precedent search", Index: "intake", Class: preset.Standard, PerSecond: 25, DeadlineMillis: 2_000, Limit: 50},
			{Name: "saved letter", Index: "myletters", Class: preset.Tolerant, PerSecond: 25, DeadlineMillis: 10_000},
			{Name: "bill", Index: "billing", Class: preset.Tolerant, PerSecond: 5, DeadlineMillis: 10_000},
			{Name: "draft filing", Index: "draftdesk", Class: preset.Critical, PerSecond: 5, DeadlineMillis: 5_000, Filing: true, ResendPercent: 10},
		}
	}
	return nil
}
