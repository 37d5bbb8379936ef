#!/bin/sh
# The stand-ins of the cases 6 to 10 (review/stand-ins-2) are plain modules that use only what Node.js has, so nothing is compiled.
# This checks that they and the program of the deploy file are there.
cd "$(dirname "$0")/.." || exit 2
test -s target/yuccawood-node.mjs || { echo "Run the build line of deploy/system.toml first." >&2; exit 2; }
for file in review/stand-ins-2/*.js; do
	node --check "$file" || exit 2
done
