package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// Guards against a control group that no longer acknowledges configurations, or
// entry hosts that no longer follow them, after the disks of the control hosts have
// been full for some seconds each, in turn and never two at once.
func TestDisksFullInTurn(t *testing.T) {
	for _, controls := range []int{3, 4} {
		t.Run(fmt.Sprint(controls, " control hosts"), func(t *testing.T) {
			seed := *firstSeed + uint64(controls)
			cl := newSizedCluster(t, seed, controls)
			rng := rand.New(rand.NewPCG(seed, 7))
			prober := cl.awaitFirstConfig(rng)
			ctx, stop := context.WithTimeout(cl.ctx, *faultTime)
			defer stop()
			operated := make(chan struct{})
			go func() {
				defer close(operated)
				cl.operate(ctx, rand.New(rand.NewPCG(seed, 5)))
			}()
			for i := 0; ctx.Err() == nil; i++ {
				h := cl.controls[i%len(cl.controls)]
				h.recordFault(time.Minute, false)
				h.fillDisk(true)
				pause(ctx, randomDuration(rng, time.Second, 4*time.Second))
				h.fillDisk(false)
				pause(ctx, randomDuration(rng, 300*time.Millisecond, 1500*time.Millisecond))
			}
			<-operated
			// The last change may have no answer; a change after the last fault must
			// have one.
			began := time.Now()
			version, index := 1_000_000, 8_000
			cl.operator.recordSent(version, index, configDocument(version, index))
			if cl.putConfig(cl.ctx, rng, configDocument(version, index), ackTime) != http.StatusOK {
				cl.history.violation(ruleConfig, "no configuration was acknowledged %s after the last disk had room again", ackTime)
			}
			cl.operator.recordAck(time.Now(), version)
			t.Logf("acknowledged after %s", time.Since(began))
			pause(cl.ctx, applyTime)
			for range 20 {
				for _, e := range cl.entries {
					if status, _ := prober.send(cl.ctx, e, mark, false); status != http.StatusOK {
						cl.history.violation(ruleRecovery, "%s answers %d", e.name, status)
					}
				}
			}
			cl.awaitHealthy(prober, rng, ackTime)
			cl.report(t)
		})
	}
}
