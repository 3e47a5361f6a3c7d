"""The endpoint list on its way to a proxy: bytes, decoding, and the discovery client that applies it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from gullmount.decisions.router import Router
from gullmount.platform.discovery_watch import DiscoveryWatch
from gullmount.platform.endpoint_codec import EndpointPage
from gullmount.proxy.discovery_client import ServerStartTimes
from gullmount.rpc import decode_message
from gullmount.scale.slopes.driven_router import (
    BASELINE,
    CELLS_PER_ZONE,
    ROUTES_PER_SERVICE,
    ZONES,
    proxies_for,
    router_settings,
)
from gullmount.scale.slopes.idle_runtime import IdleRuntime
from gullmount.scale.slopes.measurement import Measurement, allocated_bytes, processor_seconds
from gullmount.scale.slopes.router_costs import LISTED, PER_CALL, SERVERS

REVISION = 7  # of every list
STARTED_AT_MS = 1_764_600_000_000  # of the first server
SERVER_PORT = 8200


@dataclass(frozen=True)
class EndpointNames:
    """Patterns of the names in an entry, which decide its size: an assumption."""

    server: str
    zone: str


USUAL_NAMES = EndpointNames("box-{:06d}", "zone-{:02d}")
LONG_NAMES = EndpointNames("box-{:06d}." + "x" * 60, "region-{:02d}-" + "y" * 40)


def server_address(number: int) -> str:
    """Return the address of a server by its number."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:{SERVER_PORT}"


def page_entry(number: int, names: EndpointNames = USUAL_NAMES) -> dict[str, Any]:
    """Return one endpoint as the platform's page has it."""
    return {
        "id": names.server.format(number),
        "host_port": server_address(number),
        "locality": names.zone.format(number % ZONES),
        "flavor": "m2",
        "cell": number % CELLS_PER_ZONE,
        "phase": "ready",
        "size": 1.0,
        "up_since_ms": STARTED_AT_MS + number,
        "version_no": BASELINE,
    }


def encode_page(servers: int, complete: bool = True, names: EndpointNames = USUAL_NAMES) -> bytes:
    """Return the platform's page with so many endpoints."""
    members = [page_entry(number, names) for number in range(servers)]
    return msgspec.json.encode({"revision": REVISION, "complete": complete, "members": members})


def encode_snapshot_line(servers: int) -> bytes:
    """Return the line of general discovery with all of so many endpoints."""
    entries = [
        {
            "box": server_address(number), "zone": f"zone-{number % ZONES:02d}",
            "cell": number % CELLS_PER_ZONE, "build": BASELINE, "state": "ready", "power": 1.0,
            "start": f"a{number}", "age": 4.2,
        }
        for number in range(servers)
    ]  # fmt: skip
    return msgspec.json.encode({"v": 1, "kind": "full", "index": REVISION, "boxes": entries}) + b"\n"


class DetachedDiscoveryClient:
    """The platform's discovery client over a router, with no connection: pages are handed to it."""

    def __init__(self, instance_count: int) -> None:
        idle = IdleRuntime()
        runtime = SimpleNamespace(
            now=idle.now,
            router=Router(idle, router_settings(ROUTES_PER_SERVICE, instance_count)),
            random=Random(7),
            upstream=SimpleNamespace(remove_server=lambda _: None),
            log_event=lambda *_, **__: None,
            stalls=SimpleNamespace(arrival_time=idle.now),
        )
        not_used = cast(Any, None)
        self.discovery = DiscoveryWatch(cast(Any, runtime), {}, not_used, "127.0.0.1:1", lambda: 0.0)

    def apply(self, data: bytes) -> None:
        """Decode a page, compare it with the list in force, and pass what changed to the router."""
        page = msgspec.json.decode(data, type=EndpointPage)
        self.discovery.apply_page(page, page.kind)


def _client_with_list(servers: int, page: bytes) -> DetachedDiscoveryClient:
    client = DetachedDiscoveryClient(proxies_for(servers))
    client.apply(page)
    return client


def _page_bytes(servers: float, names: EndpointNames) -> Iterator[float]:
    yield float(len(encode_page(round(servers), names=names)))


def _line_bytes(servers: float) -> Iterator[float]:
    yield float(len(encode_snapshot_line(round(servers))))


def _page_decoded(servers: float) -> Iterator[float]:
    data = encode_page(round(servers))
    yield from processor_seconds(lambda: msgspec.json.decode(data, type=EndpointPage))


def _line_decoded(servers: float) -> Iterator[float]:
    """Measure decoding a line into the endpoints that the router is given."""
    data, start_times = encode_snapshot_line(round(servers)), ServerStartTimes()

    def decode() -> None:
        for entry in decode_message(data)["boxes"]:
            start_times.decode_endpoint(entry, 10.0)

    yield from processor_seconds(decode)


def _page_applied(servers: float) -> Iterator[float]:
    page = encode_page(round(servers))
    client = _client_with_list(round(servers), page)
    yield from processor_seconds(lambda: client.apply(page))


def _change_applied(servers: float) -> Iterator[float]:
    client = _client_with_list(round(servers), encode_page(round(servers)))
    change = encode_page(1, complete=False)
    yield from processor_seconds(lambda: client.apply(change))


def _client_memory(servers: float) -> Iterator[float]:
    """Measure list and router, without the page's own bytes and decoded form."""
    page = encode_page(round(servers))
    yield from allocated_bytes(lambda: _client_with_list(round(servers), page), samples=2)


MEASUREMENTS = (
    Measurement(
        "page-bytes", "the platform's page of all boxes",
        LISTED, "bytes", SERVERS, partial(_page_bytes, names=USUAL_NAMES),
    ),
    Measurement(
        "page-bytes-long", "the platform's page of all boxes, with long names of boxes and zones",
        LISTED, "bytes", SERVERS, partial(_page_bytes, names=LONG_NAMES),
    ),
    Measurement(
        "roster-bytes", "the general roster's line of all boxes", LISTED, "bytes", SERVERS, _line_bytes
    ),
    Measurement(
        "page-decoded", "the platform's page decoded", LISTED, PER_CALL, SERVERS, _page_decoded
    ),
    Measurement(
        "roster-decoded", "the general roster's line decoded and checked",
        LISTED, PER_CALL, SERVERS, _line_decoded,
    ),
    Measurement(
        "page-heard", "a page of all boxes heard by the discovery client and its module",
        LISTED, PER_CALL, SERVERS, _page_applied,
    ),
    Measurement(
        "change-heard", "a page of one change heard by the discovery client and its module",
        LISTED, PER_CALL, SERVERS, _change_applied,
    ),
    Measurement(
        "client-memory", "the discovery client and its module", LISTED, "bytes", SERVERS, _client_memory
    ),
)  # fmt: skip
