// Command jujubethread is a query tier over many shards: entry hosts, control
// hosts, operator commands and the tools to try and measure them.
package main

func main() {}
