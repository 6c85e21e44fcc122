package story_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/story"
)

func Example() {
	log, err := story.Read(strings.NewReader(`
12.1 front-b {"Time":"2026-05-16T17:23:59.2Z","Host":"front-b","Message":"query ends","Request":"r1","Outcome":"Partial"}
11.0 front-b {"Time":"2026-05-16T17:23:58.2Z","Host":"front-b","Message":"configuration is in force","Version":7}
11.0 front-c {"Time":"2026-05-16T17:23:58.3Z","Host":"front-c","Message":"configuration is in force","Version":6}
not a log line
`))
	if err != nil {
		panic(err)
	}
	if err := log.Request(os.Stdout, "r1"); err != nil {
		panic(err)
	}
	// Output:
	// believed for 1s by front-b: {"Time":"2026-05-16T17:23:58.2Z","Host":"front-b","Message":"configuration is in force","Version":7}
	// 17:23:59.200 front-b: {"Time":"2026-05-16T17:23:59.2Z","Host":"front-b","Message":"query ends","Request":"r1","Outcome":"Partial"}
}

// Guards against empty output for an unknown request ID, which would look like
// a request without events.
func TestUnknownRequestIsAnError(t *testing.T) {
	is := is.New(t)
	log, err := story.Read(strings.NewReader("{}\n"))
	is.NoErr(err)
	is.Equal(log.Skipped, 1)
	is.True(log.Request(os.Stdout, "r2") != nil)
}
