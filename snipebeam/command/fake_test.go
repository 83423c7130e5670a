package command_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/snipebeam/command"
	"github.com/snipebeam/snipebeam/world/wire"
)

// fakeControl is a control host with configurable responses.
type fakeControl struct {
	wire.Rules
	wire.Claims
	mu          sync.Mutex
	stale       bool
	dropNext    bool // close the connection instead of sending the next response
	refusal     *wire.SubmitResponse
	hosts       []*wire.HostReport
	text        string
	submissions []*wire.SubmitRequest
}

func (f *fakeControl) Submit(_ context.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submissions = append(f.submissions, req)
	if f.refusal != nil {
		return f.refusal, nil
	}
	return &wire.SubmitResponse{Accepted: true, Version: &wire.Version{Number: req.GetBaseVersion() + 1}}, nil
}

func (f *fakeControl) Read(_ context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error) {
	return &wire.ReadResponse{Version: &wire.Version{Number: max(req.GetNumber(), 7), Author: "Marie"}, Text: f.text, Stale: f.stale, AsOf: 1}, nil
}

func (f *fakeControl) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return &wire.StatusResponse{Quorum: !f.stale, Version: &wire.Version{Number: 7}, Hosts: f.hosts, AsOf: 1}, nil
}

func (f *fakeControl) start(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle(wire.RulesPathPrefix, wire.NewRulesServer(f))
	mux.Handle(wire.RulesPathPrefix+"Submit", f.dropResponse(wire.NewRulesServer(f)))
	return serve(t, mux)
}

// dropResponse handles the call with next. If dropNext is set, it discards the
// response and closes the connection.
func (f *fakeControl) dropResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.takeDrop() {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func (f *fakeControl) takeDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	drop := f.dropNext
	f.dropNext = false
	return drop
}

// fakeEntry is an entry host with a configurable backlog response.
type fakeEntry struct {
	wire.Entry
	backlog *wire.BacklogResponse
}

func (f *fakeEntry) Backlog(context.Context, *wire.BacklogRequest) (*wire.BacklogResponse, error) {
	return f.backlog, nil
}

func (f *fakeEntry) start(t *testing.T) string { return serve(t, wire.NewEntryServer(f)) }

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return listener.Addr().String()
}

// run parses and runs a command as main does, and returns its output.
func run(t *testing.T, args ...string) (out string, err error) {
	var root command.Root
	var buffer bytes.Buffer
	parser, err := kong.New(&root, kong.Name("snipebeam"))
	must.NoError(t, err)
	ctx, err := parser.Parse(args)
	must.NoError(t, err)
	root.Out = &buffer
	err = ctx.Run(&root.Globals)
	return buffer.String(), err
}
