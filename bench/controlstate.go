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

// measureState measures what a snapshot of many live claims costs: commits
// wait for the freeze alone.
func measureState(emit func(figure.Figure)) error {
	machine := state.New()
	for range recoverClaims {
		machine.Apply(&wire.Command{Body: &wire.Command_Claim{Claim: newClaim()}})
	}
	start := time.Now()
	frozen := machine.Freeze()
	froze := time.Since(start)
	data, err := frozen.Encode()
	encoded := time.Since(start) - froze
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	start = time.Now()
	if err := state.New().Restore(data); err != nil {
		return errors.Wrap(err, "restore")
	}
	note := fmt.Sprintf("%d live claims", recoverClaims)
	emit(figure.Plain("control", "snapshotFreezeMs", ms(froze), "ms").WithNote(note + "; commits wait for this"))
	emit(figure.Plain("control", "snapshotEncodeMs", ms(encoded), "ms").WithNote(note + "; beside commits"))
	emit(figure.Plain("control", "snapshotRestoreMs", ms(time.Since(start)), "ms").WithNote(note))
	emit(figure.Plain("control", "snapshotBytes", float64(len(data)), "bytes").WithNote(note))
	return nil
}
