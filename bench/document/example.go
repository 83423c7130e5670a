// Package document runs the curl examples of a page against real hosts, so
// that what the page promises stays true.
//
// An example is a line of a fenced block of kind "sh" that begins with curl;
// the comment below it gives the status and a part of the body.
//
// Usage:
//
//	for _, one := range document.Examples(page) {
//		answer, err := one.Send(client, addresses)
//	}
package document

import (
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Example is one curl command with the answer that its page promises.
type Example struct {
	line   string
	method string
	url    string
	header http.Header
	body   string
	status int
	part   string // of the body
}

// Line returns the command.
func (e Example) Line() string { return e.line }

// Status returns the promised status.
func (e Example) Status() int { return e.status }

// Part returns a promised part of the body.
func (e Example) Part() string { return e.part }

var (
	block    = regexp.MustCompile("(?s)```sh\n(.*?)```")
	promised = regexp.MustCompile(`^# (\d{3}) "(.*)"$`)
	word     = regexp.MustCompile(`"[^"]*"|'[^']*'|[^\s"']+`)
)

// Examples returns the examples of a page in their order.
func Examples(page string) ([]Example, error) {
	var all []Example
	for _, found := range block.FindAllStringSubmatch(page, -1) {
		lines := strings.Split(strings.TrimSpace(found[1]), "\n")
		for n := 0; n+1 < len(lines); n += 2 {
			example, err := parse(lines[n], lines[n+1])
			if err != nil {
				return nil, err
			}
			all = append(all, example)
		}
	}
	return all, nil
}

func parse(line, promise string) (Example, error) {
	e := Example{line: line, header: http.Header{}, method: http.MethodGet}
	match := promised.FindStringSubmatch(promise)
	if match == nil || !strings.HasPrefix(line, "curl ") {
		return e, errors.Errorf("not an example: %s", line)
	}
	status, err := strconv.Atoi(match[1])
	if err != nil {
		return e, errors.Wrap(err, "read status")
	}
	e.status, e.part = status, match[2]
	return e, e.arguments(word.FindAllString(line, -1)[1:])
}

// arguments reads those arguments of curl that the pages use.
func (e *Example) arguments(words []string) error {
	for n := 0; n < len(words); n++ {
		switch arg := unquote(words[n]); arg {
		case "-s", "--path-as-is":
		case "-X", "-H", "-d":
			n++
			if n == len(words) {
				return errors.Errorf("%s has no value: %s", arg, e.line)
			}
			e.option(arg, unquote(words[n]))
		default:
			e.url = arg
		}
	}
	if e.url == "" {
		return errors.Errorf("there is no URL: %s", e.line)
	}
	return nil
}

func (e *Example) option(name, value string) {
	switch name {
	case "-X":
		e.method = value
	case "-d":
		e.body = value
	case "-H":
		key, text, _ := strings.Cut(value, ":")
		e.header.Set(key, strings.TrimSpace(text))
	}
}

func unquote(s string) string {
	if len(s) > 1 && (s[0] == '"' || s[0] == '\'') {
		return s[1 : len(s)-1]
	}
	return s
}

// Send sends the request, with the addresses of the page replaced, and returns
// the status and body of the answer.
func (e Example) Send(client *http.Client, addresses map[string]string) (int, string, error) {
	target, err := url.Parse(e.url)
	if err != nil {
		return 0, "", errors.Wrap(err, "read URL")
	}
	if actual, ok := addresses[target.Host]; ok {
		target.Host = actual
	}
	body := e.body
	for printed, actual := range addresses {
		body = strings.ReplaceAll(body, printed, actual)
	}
	req, err := http.NewRequest(e.method, target.String(), strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "make request")
	}
	req.Header = e.header.Clone()
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
	}
	response, err := client.Do(req)
	if err != nil {
		return 0, "", errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), errors.Wrap(err, "read answer")
}
