package document_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/document"
	"github.com/snipebeam/snipebeam/bench/local"
	controlsettings "github.com/snipebeam/snipebeam/control/settings"
	entrysettings "github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/standin/upstream"
	"github.com/snipebeam/snipebeam/world/knownred"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/setting"
	"github.com/snipebeam/snipebeam/world/wire"
)

// startHosts starts a control host and an entry host, and returns their addresses
// by the addresses that the pages use.
func startHosts(t *testing.T, rules string) map[string]string {
	control := local.StartControl(t, nil)
	client := wire.NewRulesProtobufClient("http://"+control, http.DefaultClient)
	local.Eventually(t, "the rules are accepted", func() bool {
		response, err := client.Submit(t.Context(), &wire.SubmitRequest{SubmissionId: "s", Text: rules, Author: "test"})
		return err == nil && response.GetAccepted()
	})
	entry := local.StartEntry(t, control, nil)
	local.Eventually(t, "the entry host is in the address responses", func() bool {
		response, err := http.Get("http://" + entry.Platform + "/v1/addresses/catalogue")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return map[string]string{"127.0.0.1:7200": entry.Callers, "127.0.0.1:7201": entry.Platform}
}

// startInstance runs and announces a test instance, and returns its address.
func startInstance(t *testing.T, service, platform string) string {
	server := upstream.New(upstream.Config{ID: service + "-1", Service: service, Slots: 3, ServiceTime: time.Millisecond, IdempotencyHeader: "Idempotency-Key"})
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	body := fmt.Sprintf(`{"service":%q,"address":%q,"incarnation":1}`, service, web.Listener.Addr().String())
	req, err := http.NewRequest(http.MethodPut, "http://"+platform+"/v1/instances/"+service+"-1", strings.NewReader(body))
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_ = response.Body.Close()
	must.Eq(t, http.StatusOK, response.StatusCode)
	return web.Listener.Addr().String()
}

func page(t *testing.T, name string) string {
	text, err := os.ReadFile("../../docs/" + name)
	must.NoError(t, err)
	return string(text)
}

func TestDocumentedExamplesWork(t *testing.T) {
	addresses := startHosts(t, page(t, "example.rules"))
	for _, name := range []string{"CALLERS.md", "UPSTREAMS.md"} {
		examples, err := document.Examples(page(t, name))
		must.NoError(t, err)
		must.GreaterEq(t, 4, len(examples), must.Sprint(name))
		for n, example := range examples {
			t.Run(fmt.Sprintf("%s-%d", name, n+1), func(t *testing.T) {
				knownred.Skip(t)
				checkExample(t, addresses, example)
			})
		}
	}
}

func checkExample(t *testing.T, addresses map[string]string, example document.Example) {
	for _, service := range []string{"catalogue", "checkout"} {
		addresses["127.0.0.1:9001"] = startInstance(t, service, addresses["127.0.0.1:7201"])
	}
	status, body, err := example.Send(http.DefaultClient, addresses)
	must.NoError(t, err, must.Sprint(example.Line()))
	must.Eq(t, example.Status(), status, must.Sprintf("%s: %s", example.Line(), body))
	must.StrContains(t, body, example.Part(), must.Sprint(example.Line()))
}

// CALLERS.md lists every reason of an outcome, with its status.
func TestEveryReasonIsDocumented(t *testing.T) {
	source, err := os.ReadFile("../../world/outcome/outcome.go")
	must.NoError(t, err)
	callers := page(t, "CALLERS.md")
	reasons := regexp.MustCompile(`Reason\s+=\s+"([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	must.GreaterEq(t, 19, len(reasons))
	for _, found := range reasons {
		status := outcome.New(outcome.NotRun, outcome.Reason(found[1]), "").Status()
		must.StrContains(t, callers, fmt.Sprintf("| `%s` | %d |", found[1], status))
	}
}

func TestExampleWithoutExpectationIsAnError(t *testing.T) {
	_, err := document.Examples("```sh\ncurl http://x\n# works\n```")
	must.ErrorContains(t, err, "not an example")
}

// The example settings are the output of --print-config.
func TestExampleSettingsAreTheDefaults(t *testing.T) {
	for name, defaults := range map[string]any{"entry.toml": entrysettings.Default(), "control.toml": controlsettings.Default()} {
		var want strings.Builder
		must.NoError(t, setting.Print(&want, defaults))
		text, err := os.ReadFile("../../examples/" + name)
		must.NoError(t, err)
		must.Eq(t, want.String(), string(text), must.Sprint("run make docs"))
	}
}

// The operators' page on the rules file lists every term.
func TestEveryTermIsDocumented(t *testing.T) {
	manual := page(t, "operators/rules-file.md")
	for _, term := range rule.Terms() {
		must.StrContains(t, manual, "| `"+term)
	}
}
