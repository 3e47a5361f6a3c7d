"""Runs the simulator adapter on standard input and output."""

import sys

from gullmount.simulator.adapter import serve
from gullmount.simulator.errors import MalformedLineError

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedLineError as error:
        sys.exit(f"gullmount: {error}")
