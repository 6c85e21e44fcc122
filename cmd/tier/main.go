// Command tier runs the daemons of jujubethread on the platform: entry hosts and
// control hosts. It has none of the tools of command jujubethread.
package main

import (
	"os"

	"github.com/jujubethread/jujubethread/internal/tier"
)

func main() { os.Exit(tier.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
