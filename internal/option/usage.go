package option

const usage = `jujubethread: a query tier over many shards

usage: jujubethread COMMAND [ARGUMENT...] [flags]

Every flag can be given as an environment variable: -link-listen is
JUJUBETHREAD_LINK_LISTEN. A flag overrides its variable.

Daemons
  entry                  serve callers
  control                store the configuration and the filings on disk
  control id             print the member id of -data, which it makes if needed
  leaf                   stand-in upstream

Operator commands (-control names control hosts; -json prints JSON)
  status                 members, roles, active versions and faults
  preset list|switch NAME|put FILE
  upstream list|add FILE|retire ID|remove ID|place ID SHARD[,SHARD...]
  member list|add ID=IP:PORT|remove ID|replace OLD NEW=IP:PORT
  filing list|resolve REQUEST done|notrun

Tools
  dev                    a whole small deployment on loopback in one process
  demo                   the same for one committee lookup; prints its answer
  load                   open-loop load with faults and verified answers
  bench [NAME...]        measure the stated bounds, one JSON line each
  replay FILE...         run recorded events again and compare
  trace [REQUEST]        print the spans of a request as a tree
  proxy                  fault-injecting TCP proxy
  keys                   make a test certificate authority and host certificates

Host (entry, control, leaf)
  -host ID               name of this host
  -domain NAME           failure domain of this host
  -listen IP:PORT        HTTP address for callers or operators
  -link-listen IP:PORT   address for other processes of jujubethread
  -advertise IP:PORT     link address that others use (default: -link-listen)
  -log-level LEVEL       debug, info, warn or error
  -memory MB             memory of this host (entry, control); bounds what clients
                         and other hosts hold
  -descriptors N         descriptors of this host (entry, control); default: the
                         limit of the process

Entry host
  -control LIST          link addresses of control hosts
  -peers LIST            link addresses of other entry hosts
  -grace DURATION        time between failing the health check and refusing requests
  -trace-file FILE       append spans as JSON lines
  -trace-ratio N         share of requests that are traced, 0 to 1
  -record-file FILE      record the events of the query engine for replay

Control host
  -data FOLDER           data folder
  -platform-list FILE    entry hosts that the platform lists as live, one a line
  -new-group             start a group with this host as its only member
  -bootstrap LIST        first members of a group, ID=IP:PORT each, the same on
                         all; both act only while the data folder is empty, and
                         without them a host waits until it is added as a member

Operator commands
  -control LIST          HTTP addresses of control hosts
  -id ID                 command id; resend with the same id after a lost answer
  -expect VERSION        version the command expects, EPOCH.NUMBER (default: current)
  -timeout DURATION      time to wait for the outcome
  -json                  print JSON

Stand-in upstream
  -index NAME            index it answers for
  -service NAME          service it belongs to
  -shards LIST           shards it holds
  -slots N               requests run at once
  -conn-limit N          connections accepted
  -fault-listen IP:PORT  address that its faults are set through
  -conn-cost DURATION    cost of a new connection
  -service-time DURATION median time to answer
  -seed N                seed of documents and faults

dev, demo, load, bench
  -shape NAME            thesiswell or hanbit
  -entries N             number of entry hosts
  -controls N            number of control hosts
  -scenario NAME         load: scenario file or built-in scenario
  -rate N                load: requests a second
  -duration DURATION     load: length of the run (default 10s);
                         bench: length of the soak (default 60s)
  -report FILE           load: write an HTML report
  -seed N                seed of callers and faults

replay, trace, proxy, keys
  -from LIST             trace: HTTP addresses of entry hosts or span files
  -listen IP:PORT        proxy: address that is proxied
  -to IP:PORT            proxy: address that is connected to
  -fault-listen IP:PORT  proxy: address that faults are set through
  -out FOLDER            keys: folder for the certificates
  -hosts LIST            keys: hosts, ID=IP each
  -role ROLE             keys: control, entry or operator

TLS (all processes and operator commands)
  -ca FILE               certificate authority
  -cert FILE             own certificate
  -key FILE              own key
  -allow-plaintext       allow addresses other than loopback without TLS

Exit status
  0  success
  1  the command failed
  2  a flag or argument is wrong
  3  the command was not run
  4  the outcome is unknown: resend with the same -id
  5  conflict: the configuration changed since the expected version
  6  a bound was not met, a replay differs or an answer was wrong
`
