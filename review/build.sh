#!/bin/sh
# Builds the stand-ins: Python sources, which need no more than to be compiled.
cd "$(dirname "$0")" && exec ../.venv/bin/python -m compileall -q standins 1 2 3
