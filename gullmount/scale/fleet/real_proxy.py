"""A real proxy that subscribes to relays, as `gullmount proxy FILE` runs it, which notes what it applies.

Called with its file and the path of its report, which is written as it ends.
"""

from __future__ import annotations

import json
import runpy
import sys
from pathlib import Path

import msgspec

from gullmount.distribution import subscribed_proxy
from gullmount.distribution.messages import TOPIC_KINDS
from gullmount.distribution.subscriber import Subscriber
from gullmount.scale.fleet.applied_versions import AppliedVersions
from gullmount.scale.fleet.drawn_elements import proxy_name
from gullmount.scale.fleet.hollow_subscriber import note_updates


def main() -> None:
    """Run the proxy until it ends, then write its report. Raises OSError where a file can't be used."""
    config_path, report_path = map(Path, sys.argv[1:3])
    config = json.loads(config_path.read_text())
    topics = [f"{kind}/{service}" for kind in TOPIC_KINDS for service in config["relays"]["services"]]
    applied = AppliedVersions(proxy_name(config["number"]), config["zone"], topics)

    class NotedSubscriber(Subscriber):
        def __init__(self, **arguments: object) -> None:
            super().__init__(**arguments)  # type: ignore[arg-type]
            note_updates(self, applied)

    setattr(subscribed_proxy, "Subscriber", NotedSubscriber)  # noqa: B010 (the class that the proxy makes one of)
    sys.argv = ["gullmount", "proxy", str(config_path)]
    try:
        runpy.run_module("gullmount", run_name="__main__")
    finally:
        report_path.with_suffix(".applied").write_bytes(applied.rows.tobytes())
        report_path.write_text(json.dumps(msgspec.to_builtins(applied.report({}))))


if __name__ == "__main__":
    main()
