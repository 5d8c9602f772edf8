#!/bin/bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
cases=target/review-2/cases
if [ ! -x "$cases" ] || [ ! -x target/release/bramleypier ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh"
    exit 2
fi
exec "$cases" reloads "$folder"
