// Command jujubethread is a query tier over many shards: entry hosts, control
// hosts, operator commands, and tools for demos and benchmarks.
package main

import (
	"os"

	"github.com/jujubethread/jujubethread/internal/launch"
)

func main() { os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr)) }
