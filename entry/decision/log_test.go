package decision_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/world/logging"
)

const lineCount = 10_000 // more than the queue holds

func TestEveryLineIsWrittenOrCountedAsDropped(t *testing.T) {
	var out bytes.Buffer
	log := decision.NewLog(logging.New("test", "info", &out))
	for n := range lineCount {
		log.Write(&decision.Decision{ID: fmt.Sprint(n), Kind: decision.Route, Service: "catalogue"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	log.Run(ctx)

	written, reported := 0, 0
	for line := range bytes.Lines(out.Bytes()) {
		var fields map[string]any
		must.NoError(t, json.Unmarshal(line, &fields))
		if count, ok := fields["count"].(float64); ok {
			reported += int(count)
			continue
		}
		written++
	}
	must.Positive(t, written)
	must.Positive(t, reported)
	must.Eq(t, lineCount, written+reported)
	must.Eq(t, uint64(reported), log.Dropped())
}

func TestFindEvictsTheOldest(t *testing.T) {
	var out bytes.Buffer
	log := decision.NewLog(logging.New("test", "info", &out))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for n := range 5000 {
		log.Write(&decision.Decision{ID: fmt.Sprint(n), Kind: decision.Route, Instance: "catalogue-1"})
	}
	log.Run(ctx)
	must.Nil(t, log.Find("0"))
	must.Eq(t, "catalogue-1", log.Find("4999").Instance)
}
