package tier_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/tier"
)

// Guards against an explanation that differs from where requests go, that sends
// something, or that ends without a reason where nothing would be sent.
func TestExplainTellsWhereARequestGoes(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 0)
	is.Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
	s.search(s.entries[0], "/x/1", http.StatusOK)
	at := fmt.Sprintf("127.0.9.4:%d", s.port)
	ask := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := tier.Main(append([]string{"explain", "-at", at}, args...), strings.NewReader(""), &out, &errOut)
		return code, out.String(), errOut.String()
	}

	code, out, _ := ask("-json", "http://a.example/x/1")
	is.Equal(code, 0)
	var x front.ExplainReply
	is.NoErr(json.Unmarshal([]byte(out), &x))
	is.Equal(x.Route, "search")
	is.Equal(x.Refusal, "")
	is.Equal(len(x.Parts), 4)
	for _, p := range x.Parts {
		is.True(p.Upstream != "")
		is.Equal(len(p.Upstreams), 2)
	}
	is.Equal(s.atWork.Load(), int64(0))

	code, out, _ = ask("http://a.example/y/1")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "no route matches"))
	code, _, errOut := ask("a.example/x/1")
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "http://HOST/PATH"))
}
