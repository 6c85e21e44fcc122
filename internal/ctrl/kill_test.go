package ctrl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// childEnv makes the test binary run one control host with the JSON settings in
// its value. killsEnv sets the number of kills.
const (
	childEnv = "CTRL_TEST_CHILD"
	killsEnv = "CTRL_TEST_KILLS"
)

func TestMain(m *testing.M) {
	doc, child := os.LookupEnv(childEnv)
	if !child {
		goleak.VerifyTestMain(m)
		return
	}
	var cfg ctrl.Config
	if err := json.Unmarshal([]byte(doc), &cfg); err != nil {
		panic(err)
	}
	h, err := ctrl.New(cfg)
	if err != nil {
		panic(err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := h.Run(ctx); err != nil {
		panic(err)
	}
}

func spawn(t *testing.T, cfg ctrl.Config) *exec.Cmd {
	t.Helper()
	doc, err := json.Marshal(cfg)
	is.New(t).NoErr(err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"="+string(doc))
	cmd.Stderr = os.Stderr
	is.New(t).NoErr(cmd.Start())
	return cmd
}

// operator adds upstreams one after the other. It resends a command with the
// same id until the outcome is known, and continues with a new command after a
// conflict.
type operator struct {
	name     string
	urls     []string
	client   *http.Client
	accepted map[ident.ConfigVersion]ident.Upstream
	refused  []ident.Upstream
	resent   int
}

// send resends a command until its outcome is Accepted or Conflict.
func (o *operator) send(ctx context.Context, body []byte) config.Outcome {
	for i := 0; ctx.Err() == nil; i++ {
		url := o.urls[i%len(o.urls)]
		resp, err := o.client.Post(url+ctrl.PathCommands, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		var out config.Outcome
		err = json.NewDecoder(resp.Body).Decode(&out)
		_ = resp.Body.Close()
		if err == nil && (out.Kind == config.Accepted || out.Kind == config.Conflict) {
			return out
		}
		o.resent++
	}
	return config.Outcome{Kind: config.Unknown}
}

func (o *operator) work(ctx context.Context, progress chan<- struct{}) {
	var version ident.ConfigVersion
	for i := 0; ctx.Err() == nil; i++ {
		id := ident.Upstream(fmt.Sprint(o.name, i))
		body, err := ctrl.FormatCommand(config.Command{
			ID:     ident.CommandID(id),
			Expect: version,
			Change: config.AddUpstream{Upstream: config.Upstream{
				ID:        id,
				Address:   "127.0.0.1:9000",
				Index:     "i",
				Service:   "s",
				Shards:    []ident.Shard{"x"},
				Slots:     1,
				ConnLimit: 1,
			}},
		})
		if err != nil {
			panic(err)
		}
		out := o.send(context.WithoutCancel(ctx), body)
		version = out.Version
		if out.Kind == config.Conflict {
			o.refused = append(o.refused, id)
			continue
		}
		o.accepted[out.Version] = id
		select {
		case progress <- struct{}{}:
		default:
		}
	}
}

// Guards against accepted commands that are lost, refused ones that take effect
// and resent ones that run twice. Control host processes are killed while two
// operators send conflicting commands.
func TestKilledControlHosts(t *testing.T) {
	is := is.New(t)
	kills := 5
	if v, err := strconv.Atoi(os.Getenv(killsEnv)); err == nil {
		kills = v
	}
	g := &group{t: t}
	var members []quorum.Member
	for range 3 {
		members = append(members, g.prepare())
	}
	var urls []string
	var children []*exec.Cmd
	for i := range g.configs {
		g.configs[i].Bootstrap = members
		g.configs[i].Listen = freePort(t)
		g.configs[i].SnapshotBytes = 32 << 10
		urls = append(urls, "http://"+g.configs[i].Listen)
		children = append(children, spawn(t, g.configs[i]))
	}
	client := &http.Client{Timeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	progress := make(chan struct{}, 1)
	var working sync.WaitGroup
	operators := []*operator{{name: "a"}, {name: "b"}}
	for i, o := range operators {
		o.urls, o.client, o.accepted = append(urls[i:len(urls):len(urls)], urls[:i]...), client, map[ident.ConfigVersion]ident.Upstream{}
		working.Go(func() { o.work(ctx, progress) })
	}
	rng := rand.New(rand.NewPCG(1, 2))
	<-progress
	for range kills {
		i := rng.IntN(len(children))
		is.NoErr(children[i].Process.Kill())
		_ = children[i].Wait()
		children[i] = spawn(t, g.configs[i])
		for range 5 {
			<-progress
		}
	}
	cancel()
	working.Wait()
	checkOperators(t, operators, urls[0], client, kills)
	for _, c := range children {
		is.NoErr(c.Process.Signal(os.Interrupt))
	}
	for _, c := range children {
		is.NoErr(c.Wait())
	}
	client.CloseIdleConnections()
}

func checkOperators(t *testing.T, operators []*operator, url string, client *http.Client, kills int) {
	t.Helper()
	is := is.New(t)
	accepted := map[ident.ConfigVersion]ident.Upstream{}
	refused, resent := map[ident.Upstream]bool{}, 0
	for _, o := range operators {
		resent += o.resent
		for v, id := range o.accepted {
			_, twice := accepted[v]
			is.True(!twice) // one command per version
			accepted[v] = id
		}
		for _, id := range o.refused {
			refused[id] = true
		}
	}
	var s config.State
	(&group{t: t}).await(10*time.Second, "the last version on the first host", func() bool {
		resp, err := client.Get(url + ctrl.PathConfig)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		s = config.State{}
		return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Version.Number >= uint64(len(accepted))
	})
	t.Logf("%d kills, %d accepted, %d conflicts, %d resent", kills, len(accepted), len(refused), resent)
	is.Equal(s.Version.Number, uint64(len(accepted)))
	is.Equal(len(s.Upstreams), len(accepted))
	for _, id := range accepted {
		_, ok := s.FindUpstream(id)
		is.True(ok) // no accepted command is lost
	}
	for id := range refused {
		_, ok := s.FindUpstream(id)
		is.True(!ok) // no refused command took effect
	}
}
