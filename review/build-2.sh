#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are written in Python and use its standard library alone: nothing is
# installed, and the bytecode is left in `__pycache__`.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2
for number in 6 7 8 9 10; do
    if [ -d "review/$number" ]; then
        .venv/bin/python -m compileall -q "review/$number"
    fi
done
