#!/bin/sh
# Runs one case: `run-case.sh N`. It ends all processes that the case has started.
case_folder=$(cd "$(dirname "$0")/$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x "target/review/case-$1" ] && [ -x target/release/bramleypier ] || { echo "build first"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR REVIEW_CASE="$case_folder"
finish() {
    if [ -f "$TMPDIR/pids" ]; then
        # The case ends its processes itself, and waits for them; this is for a case that was ended.
        while read -r id; do
            if grep -qa 'bramleypier' "/proc/$id/cmdline" 2>/dev/null; then kill -KILL "$id" 2>/dev/null; fi
        done < "$TMPDIR/pids"
    fi
    rm -rf "$TMPDIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout 118 "target/review/case-$1"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
