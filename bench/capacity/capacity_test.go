package capacity_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/capacity"
)

func TestPageAgreesWithTheMeasurements(t *testing.T) {
	m, err := capacity.Load("../../docs/measurements")
	must.NoError(t, err)
	table, err := capacity.Table(m)
	must.NoError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	must.NoError(t, err)
	want, err := capacity.Replace(string(page), table)
	must.NoError(t, err)
	must.Eq(t, want, string(page), must.Sprint("run make docs"))
}

func TestAMissingMeasurementIsNamed(t *testing.T) {
	m, err := capacity.Load(t.TempDir())
	must.NoError(t, err)
	_, err = capacity.Table(m)
	must.ErrorContains(t, err, "bytesPerSecondPer1000Instances")
}
