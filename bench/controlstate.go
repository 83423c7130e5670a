package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

func init() { register("control", measureState) }

// measureState measures the cost of a snapshot of many live claims. Only the
// freeze delays commits; encoding runs concurrently with them.
func measureState(emit func(figure.Figure)) error {
	machine := state.New()
	for range recoverClaims {
		machine.Apply(&wire.Command{Body: &wire.Command_Claim{Claim: newClaim()}})
	}
	start := time.Now()
	frozen := machine.Freeze()
	freezeTime := time.Since(start)
	data, err := frozen.Encode()
	encodeTime := time.Since(start) - freezeTime
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	start = time.Now()
	if err := state.New().Restore(data); err != nil {
		return errors.Wrap(err, "restore snapshot")
	}
	note := fmt.Sprintf("%d live claims", recoverClaims)
	emit(figure.Plain("control", "snapshotFreezeMs", ms(freezeTime), "ms").WithNote(note + "; commits wait for this"))
	emit(figure.Plain("control", "snapshotEncodeMs", ms(encodeTime), "ms").WithNote(note + "; beside commits"))
	emit(figure.Plain("control", "snapshotRestoreMs", ms(time.Since(start)), "ms").WithNote(note))
	emit(figure.Plain("control", "snapshotBytes", float64(len(data)), "bytes").WithNote(note))
	return nil
}
