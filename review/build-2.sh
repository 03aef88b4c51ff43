#!/bin/sh
# Builds what the scripts of cases 4 to 6 start: the daemon of the deploy file. Their stand-ins are Python
# files of the standard library (review/standins-2), which are only checked here.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked
python3 -c 'import ast, sys; [ast.parse(open(p).read(), p) for p in sys.argv[1:]]' \
    review/standins-2/world.py review/[456]/case.py
