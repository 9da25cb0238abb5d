#!/bin/sh
# The stand-ins of the scripts are Python programs without dependencies: this checks that they
# compile. Nothing else is started by the scripts but the program of the deploy file.
cd "$(dirname "$0")" || exit 2
for file in standins/*.py [1-5]/*.py; do
	[ -f "$file" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
