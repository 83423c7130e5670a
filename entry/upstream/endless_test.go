package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

const (
	mostNoAnswerBytes = 100 << 10 // that an instance may get rid of before its link is closed
	tricklePause      = time.Second
)

// endlessInstance responds to each request with a start and then a piece, again
// and again, until its link is closed.
type endlessInstance struct {
	start, piece string
	trickle      bool // sends the piece byte by byte, with a pause before each
	opened       atomic.Int32
	taken        atomic.Int64 // bytes of pieces that were read from it
	ended        sync.WaitGroup
}

func (i *endlessInstance) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	i.opened.Add(1)
	i.ended.Go(func() { i.serve(theirs) })
	return ours, nil
}

func (i *endlessInstance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	readRequest(bufio.NewReader(conn))
	if _, err := io.WriteString(conn, i.start); err != nil {
		return
	}
	for at := 0; ; at++ {
		part := i.piece
		if i.trickle {
			time.Sleep(tricklePause)
			part = i.piece[at%len(i.piece):][:1]
		}
		n, err := io.WriteString(conn, part)
		i.taken.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// endlessHeads never come to the end of the header of a final response.
func endlessHeads() map[string]*endlessInstance {
	return map[string]*endlessInstance{
		"header line":   {start: "HTTP/1.1 200 OK\r\nA: ", piece: strings.Repeat("a", 1000)},
		"header lines":  {start: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n"},
		"interim":       {piece: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"continue":      {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim lines": {start: "HTTP/1.1 103 Early Hints\r\n", piece: "A: b\r\n"},
		"status line":   {start: "HTTP/1.1 200 ", piece: "O"},
		"no status":     {piece: strings.Repeat("x", 1000)},
		"empty lines":   {piece: "\r\n"},
	}
}

func TestEndlessHeadIsCutOffEarly(t *testing.T) {
	for name, instance := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer instance.ended.Wait()
				pool := upstream.NewPool(upstream.WithDial(instance.dial))
				_, err := fetch(t, pool, "i:1", "/")
				must.Eq(t, upstream.Malformed, failureOf(t, err).Cause())
				must.True(t, failureOf(t, err).Wrote())
				instance.ended.Wait()
				must.LessEq(t, mostNoAnswerBytes, instance.taken.Load())
				open, _ := pool.Links("i:1")
				must.Zero(t, open)
			})
		})
	}
}

func TestTrickledHeadEndsWithTheRequest(t *testing.T) {
	for name, instance := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance.trickle = true
				defer instance.ended.Wait()
				pool := upstream.NewPool(upstream.WithDial(instance.dial))
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				started := time.Now()
				_, err := pool.Send(ctx, "i:1", get(t, "/"))
				must.True(t, failureOf(t, err).Wrote())
				must.LessEq(t, 5*time.Second, time.Since(started))
				instance.ended.Wait()
				open, _ := pool.Links("i:1")
				must.Zero(t, open)
			})
		})
	}
}

func TestLongHeadWithinTheLimitIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		head := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 30<<10) + "\r\nContent-Length: 2\r\n\r\nok"
		instance := &endlessInstance{start: head, piece: "surplus"}
		pool := upstream.NewPool(upstream.WithDial(instance.dial))
		body, err := fetch(t, pool, "i:1", "/")
		must.NoError(t, err)
		must.Eq(t, "ok", body)
		pool.Close()
	})
}

func TestEndlessBytesAfterTheResponseEndWithTheLink(t *testing.T) {
	sent, ended := make(chan struct{}), make(chan struct{})
	i := serve(t, func(n int, conn *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n > 1 {
			return
		}
		defer close(ended)
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		close(sent)
		for {
			if _, err := conn.Write(make([]byte, 1000)); err != nil {
				return
			}
		}
	})
	pool := upstream.NewPool()
	body, err := fetch(t, pool, i.address(), "/")
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	<-sent
	body, err = fetch(t, pool, i.address(), "/")
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	must.Eq(t, 2, i.opened.Load())
	<-ended
}

func TestEndlessChunkFramingIsNoProgress(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	instances := map[string]*endlessInstance{
		"extension":          {start: chunked + "2;", piece: "a"},
		"size":               {start: chunked, piece: "0"},
		"trailer line":       {start: chunked + "0\r\nA: ", piece: "a"},
		"trailer lines":      {start: chunked + "0\r\n", piece: "A: b\r\n"},
		"extension of each":  {start: chunked, piece: "1;" + strings.Repeat("a", 4000) + "\r\nx\r\n"},
		"trickled extension": {start: chunked + "2;", piece: "a", trickle: true},
		"trickled size":      {start: chunked, piece: "0", trickle: true},
		"trickled trailer":   {start: chunked + "0\r\nA: ", piece: "a", trickle: true},
	}
	for name, instance := range instances {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer instance.ended.Wait()
				pool := upstream.NewPool(upstream.WithDial(instance.dial), upstream.WithProgress(30*time.Second))
				started := time.Now()
				body, err := fetch(t, pool, "i:1", "/")
				must.Error(t, err)
				must.StrHasPrefix(t, "ok", body)
				must.LessEq(t, time.Minute, time.Since(started))
				instance.ended.Wait()
				must.LessEq(t, mostNoAnswerBytes, instance.taken.Load())
				open, _ := pool.Links("i:1")
				must.Zero(t, open)
			})
		})
	}
}

// slowParts is a connection whose peer writes parts with a pause before each.
func slowParts(pause time.Duration, start string, parts ...string) upstream.Dial {
	return func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			readRequest(bufio.NewReader(theirs))
			_, _ = io.WriteString(theirs, start)
			for _, part := range parts {
				time.Sleep(pause)
				_, _ = io.WriteString(theirs, part)
			}
		}()
		return ours, nil
	}
}

func TestSlowBodyIsReadToItsEnd(t *testing.T) {
	part := strings.Repeat("a", 100)
	tests := map[string]struct {
		pause time.Duration
		start string
		parts []string
	}{
		"bytes of a length": {20 * time.Second, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", []string{"a", "a", "a", "a"}},
		"small chunks":      {20 * time.Second, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", []string{"1\r\na\r\n", "1\r\na\r\n", "0\r\n\r\n"}},
		"one large chunk": {
			time.Second, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n",
			append(strings.Split(strings.Repeat(part+" ", 99)+part, " "), "\r\n0\r\n\r\n"),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := upstream.NewPool(upstream.WithDial(slowParts(test.pause, test.start, test.parts...)), upstream.WithProgress(30*time.Second))
				body, err := fetch(t, pool, "i:1", "/")
				must.NoError(t, err)
				must.Eq(t, strings.Count(strings.Join(test.parts, ""), "a"), len(body))
				pool.Close()
			})
		})
	}
}

// endlessMismatches respond to another request without end.
func endlessMismatches() map[string]*endlessInstance {
	own := "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 3\r\n\r\nown"
	head := "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\n"
	return map[string]*endlessInstance{
		"length":          {start: head + "Content-Length: 1000000000000\r\n\r\n", piece: own},
		"chunks":          {start: head + "Transfer-Encoding: chunked\r\n\r\n", piece: "3\r\nown\r\n"},
		"chunk extension": {start: head + "Transfer-Encoding: chunked\r\n\r\n3;", piece: "a"},
		"until closed":    {start: head + "\r\n", piece: own},
		"one after another": {
			piece: head + "Content-Length: 5\r\n\r\nother",
		},
	}
}

func TestEndlessResponseToAnotherRequestIsCutOffEarly(t *testing.T) {
	for name, instance := range endlessMismatches() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer instance.ended.Wait()
				pool := upstream.NewPool(upstream.WithDial(instance.dial))
				_, err := fetchIdentified(t, pool, "i:1", upstream.WithCloseDelimited())
				must.Eq(t, upstream.Malformed, failureOf(t, err).Cause())
				must.True(t, failureOf(t, err).Wrote())
				instance.ended.Wait()
				must.LessEq(t, mostNoAnswerBytes, instance.taken.Load())
				open, _ := pool.Links("i:1")
				must.Zero(t, open)
			})
		})
	}
}

func TestTrickledResponseToAnotherRequestEndsWithTheRequest(t *testing.T) {
	for name, instance := range endlessMismatches() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance.trickle = true
				defer instance.ended.Wait()
				pool := upstream.NewPool(upstream.WithDial(instance.dial))
				req := get(t, "/")
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := pool.Send(ctx, "i:1", req, upstream.WithIdentity("Request-Id", "7"))
				must.True(t, failureOf(t, err).Wrote())
				instance.ended.Wait()
				open, _ := pool.Links("i:1")
				must.Zero(t, open)
			})
		})
	}
}

func TestLateResponseWithALongBodyIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("a", 50_000)
		own := "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 3\r\n\r\nown"
		instance := &endlessInstance{start: late + own, piece: "surplus"}
		body, err := fetchIdentified(t, upstream.NewPool(upstream.WithDial(instance.dial)), "i:1")
		must.NoError(t, err)
		must.Eq(t, "own", body)
	})
}
