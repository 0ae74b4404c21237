#!/bin/sh
# Builds the stand-ins of the cases 4, 5 and 6: they are Python of the standard library, so they are compiled.
set -e
cd "$(dirname "$0")"
for folder in standins-2 4 5 6; do
    if [ -d "$folder" ]; then python3 -m compileall -q "$folder"; fi
done
