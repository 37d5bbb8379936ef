#!/bin/sh
# The stand-ins are plain JavaScript, and the programs are built by the build line of deploy/system.toml.
cd "$(dirname "$0")" && for file in common/*.js */case.js; do node --check "$file" || exit 1; done
