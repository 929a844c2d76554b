#!/bin/bash
# Checks the stand-ins of the cases 11 to 15. They are plain Node.js programs without dependencies, and nothing of this
# project but the front program of the deploy file is started beside them.
cd "$(dirname "$0")" || exit 1
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file" || exit 1
    fi
done
