#!/usr/bin/env bash
# Runs every check and prints a final line: N passed, N failed.
set -u
cd "$(dirname "$0")/.."
mkdir -p .work
rm -f .work/checks.txt .work/cucumber.json

check() {
    local name=$1
    shift
    if "$@" >".work/$name.log" 2>&1; then
        echo "$name passed" | tee -a .work/checks.txt
    else
        echo "$name failed" | tee -a .work/checks.txt
        tail -n 60 ".work/$name.log"
    fi
}

check build npx tsc -b
check format npm run -s check:format
check lint npm run -s check:lint
check unused npm run -s check:unused
check model npm run -s check:model
cat .work/model.log
npm run -s check:features >.work/features.log 2>&1
tail -n 40 .work/features.log
node scripts/summarizeResults.mjs
