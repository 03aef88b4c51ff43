/// The help of the whole command line.
pub const HELP: &str = "\
saddlepulley: serves language models and their companion services on
reclaimable boxes

Usage: saddlepulley <command> [options]

  serve          run the daemon of an entry box
  gateway        run the daemon that routes by host and path
  check          check a settings file or a table file
  table show     print the table in force, ready to edit
  table diff     show what publishing a file would change
  table publish  publish a file and wait until it is in force
  table log      list the edits in the log and what became of them
  status         show boxes, failure domains and versions in force
  report         show how each policy did
  explain        tell the story of one request from logs
  rollout        show how roll-outs go, from logs
  drain          stop a daemon as planned
  demo           stand-ins and three daemons in one process

`saddlepulley <command> --help` shows a command's options with an example;
`saddlepulley --version` the build, and the oldest whose daemons it speaks with.
Exit codes: 0 done, 1 failed, 2 usage or wrong file, 3 conflict.
";

/// Help for `gateway`.
pub const GATEWAY: &str = "\
Usage: saddlepulley gateway [--settings FILE | --default-settings]

Runs the daemon that routes requests by host and path to upstreams, byte for
byte, until SIGTERM or SIGINT: then it takes no new clients, finishes what is
in flight and leaves. Without --settings, the file is the one that the variable
SADDLEPULLEY_NODE_FILE names.

Example: saddlepulley gateway --settings gateway.toml
";

/// Help for `explain`.
pub const EXPLAIN: &str = "\
Usage: saddlepulley explain REQUEST [FILE...]

Prints each line of the logs that names the request, in the order of time.
Without files, reads standard input. Exit code 1 if no line names it.

Example: saddlepulley explain 9c41d07be2a35f68 edge-1.log edge-2.log
";

/// Help for `rollout`.
pub const ROLLOUT: &str = "\
Usage: saddlepulley rollout status [--json] [FILE...]
       saddlepulley rollout explain SERVICE [--json] [FILE...]

Reads the logs of daemons; without files, standard input. `status` prints the newest
step of each service's roll-out, `explain` all steps of one service's with the
figures that decided. Exit code 1 if no line tells of a step.

Example: saddlepulley rollout explain llm-pool edge-1.log edge-2.log
";

/// Help for `serve`.
pub const SERVE: &str = "\
Usage: saddlepulley serve --settings FILE

Runs the daemon until SIGTERM or SIGINT: then it takes nothing new, finishes
what is in flight, and leaves.

  --default-settings   print the commented default settings and exit

Example:
  saddlepulley serve --settings txc-a-1.toml
";

/// Help for `check`.
pub const CHECK: &str = "\
Usage: saddlepulley check [--settings FILE] [--table FILE]

Checks files and names the file, line and field that are wrong.

Example:
  saddlepulley check --settings txc-a-1.toml --table table.toml
";

/// Help for `table`.
pub const TABLE: &str = "\
Usage: saddlepulley table show    --platform ADDR
       saddlepulley table diff    --platform ADDR FILE
       saddlepulley table publish --platform ADDR FILE [--at ADDR,ADDR...]
       saddlepulley table log     --platform ADDR

`publish` appends one edit. It is refused as a conflict (exit code 3) if
another edit changed one of the same rows after the file's `based_on`. With
--at it waits, and shows when the version came in force in each failure domain.

  --platform ADDR   the platform's log service
  --at ADDRS        operators' addresses of daemons
  --wait-s N        how long to wait, 30 by default
The operators' token is read from SADDLEPULLEY_TOKEN.

Example:
  saddlepulley table show --platform 127.0.0.1:7900 > table.toml
  saddlepulley table publish --platform 127.0.0.1:7900 table.toml --at 127.0.0.1:7201
";

/// Help for `status`.
pub const STATUS: &str = "\
Usage: saddlepulley status --at ADDR,ADDR... [--json]

The operators' token is read from SADDLEPULLEY_TOKEN.

Example:
  SADDLEPULLEY_TOKEN=... saddlepulley status --at 127.0.0.1:7201,127.0.0.1:7202
";

/// Help for `report`.
pub const REPORT: &str = "\
Usage: saddlepulley report --platform ADDR [--json | --html FILE]

Shows per policy, client account, service and failure domain: requests, answers
on target, price of an answer on target, tokens computed again, and how fast
the error budget burns in windows of 5 minutes, 1 hour and 6 hours. A stretch
that a daemon did not publish is shown as a gap.

Example:
  saddlepulley report --platform 127.0.0.1:7900 --html report.html
";

/// Help for `drain`.
pub const DRAIN: &str = "\
Usage: saddlepulley drain --at ADDR

The daemon takes nothing new and finishes what is in flight. It goes on
answering status; SIGTERM ends it. The operators' token is read from
SADDLEPULLEY_TOKEN.

Example:
  SADDLEPULLEY_TOKEN=... saddlepulley drain --at 127.0.0.1:7201
";

/// Help for `demo`.
pub const DEMO: &str = "\
Usage: saddlepulley demo [--once] [--policy NAME]

Runs stand-ins of the platform, nine engines and three lookup services, and
three daemons of three failure domains, all in this process on loopback. Shows
how to call them with curl, and what happens while upstreams are reclaimed.

  --once          publish a table, make a few calls, print the figures, exit

Example:
  saddlepulley demo --once
";
