#!/bin/sh
# Builds the stand-ins of the third review. They are plain JavaScript and use only modules of Node.js, so they are just checked.
# The programs under test come from the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in stand-ins-3/*.js 1[1-5]/*.js; do
	[ -e "$file" ] || continue
	node --check "$file"
done
