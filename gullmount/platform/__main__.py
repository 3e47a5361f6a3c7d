"""Run one umpire on the platform, as the file that PROXY_CONFIG names tells."""

import os
import sys

import anyio

from gullmount.net import TcpNet
from gullmount.platform.log import Log
from gullmount.platform.serving import run
from gullmount.platform.told import Unreadable, read


def main() -> None:
    try:
        start = read(os.environ)
    except Unreadable as fault:
        sys.exit(f"gullmount: {fault}")
    anyio.run(run, start, TcpNet(), Log(start.told.name), backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
