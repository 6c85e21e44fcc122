package front

import (
	"net/http"

	"github.com/jujubethread/jujubethread/pkg/rules"
)

// SetAccount makes all requests of callers those of one account. It must be called
// before Run.
func (f *Front) SetAccount(a *rules.Account) {
	f.accountOf = func(*http.Request) *rules.Account { return a }
}
