// Package document runs the curl examples of a page against real hosts, so that
// the documentation is tested.
//
// An example is a line of a fenced block of kind "sh" that begins with curl;
// the comment on the next line gives the expected status and a part of the
// expected body.
//
// Usage:
//
//	examples, err := document.Examples(page)
//	for _, example := range examples {
//		status, body, err := example.Send(client, addresses)
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

// Example is a curl command with its expected response.
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

// Status returns the expected status.
func (e Example) Status() int { return e.status }

// Part returns a part of the expected body.
func (e Example) Part() string { return e.part }

var (
	block    = regexp.MustCompile("(?s)```sh\n(.*?)```")
	expected = regexp.MustCompile(`^# (\d{3}) "(.*)"$`)
	argument = regexp.MustCompile(`"[^"]*"|'[^']*'|[^\s"']+`)
)

// Examples returns the examples of a page, in page order.
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

func parse(line, expectation string) (Example, error) {
	e := Example{line: line, header: http.Header{}, method: http.MethodGet}
	match := expected.FindStringSubmatch(expectation)
	if match == nil || !strings.HasPrefix(line, "curl ") {
		return e, errors.Errorf("not an example: %s", line)
	}
	status, err := strconv.Atoi(match[1])
	if err != nil {
		return e, errors.Wrap(err, "parse status")
	}
	e.status, e.part = status, match[2]
	return e, e.arguments(argument.FindAllString(line, -1)[1:])
}

// arguments parses the curl options that the pages use.
func (e *Example) arguments(args []string) error {
	for n := 0; n < len(args); n++ {
		switch arg := unquote(args[n]); arg {
		case "-s", "--path-as-is":
		case "-X", "-H", "-d":
			n++
			if n == len(args) {
				return errors.Errorf("%s has no value: %s", arg, e.line)
			}
			e.option(arg, unquote(args[n]))
		default:
			e.url = arg
		}
	}
	if e.url == "" {
		return errors.Errorf("no URL: %s", e.line)
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
// the status and body of the response.
func (e Example) Send(client *http.Client, addresses map[string]string) (int, string, error) {
	target, err := url.Parse(e.url)
	if err != nil {
		return 0, "", errors.Wrap(err, "parse URL")
	}
	if actual, ok := addresses[target.Host]; ok {
		target.Host = actual
	}
	body := e.body
	for documented, actual := range addresses {
		body = strings.ReplaceAll(body, documented, actual)
	}
	req, err := http.NewRequest(e.method, target.String(), strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "create request")
	}
	req.Header = e.header.Clone()
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
	}
	response, err := client.Do(req)
	if err != nil {
		return 0, "", errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), errors.Wrap(err, "read response")
}
