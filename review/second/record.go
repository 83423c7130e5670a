package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func newRecord() *record { return &record{begun: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(file, line); err != nil {
			_ = file.Close()
			return err
		}
	}
	return file.Close()
}
