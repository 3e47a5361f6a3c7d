"""Generates messages that an untrusted peer might send, from a seed: built by a grammar, then mutated."""

from __future__ import annotations

import json
from random import Random

TARGETS = (
    "/", "*", "//[", "http://[::1/v1/register", "http://[", "https://x:y/v1/watch", "/v1/watch?register=",
    f"/v1/watch?register={'a' * 101}", f"/v1/watch?{'a=1&' * 2000}", "/v1/watch?register=%00%ff", "/v1/watch",
    "/v1/watch?register=job", "/v1/register", "/v1/keeper", "/v1/group", "/v1/follow", "/v1/in-force",
    "/v1/changes", "/look", "/pay?x=[", "/mark", "/flow", "/load-item", "/submit-exam", "/healthz", "",
    "/%", "/v1/watch?register=\xff", "http:///v1/register", "/v1/watch?=&=",
)  # fmt: skip
METHODS = ("GET", "POST", "HEAD", "PUT", "CONNECT", "TRACE", "OPTIONS", "get", "", "\x00")
HEADERS = (
    "Host: x", "Host: [", "Content-Length: 0", "Content-Length: -1", "Content-Length: 99999999999999999999",
    "Transfer-Encoding: chunked", "Transfer-Encoding: chunked, chunked", "Expect: 100-continue", "X: \x00",
    "Connection: close", "Connection: \xff", "Request-Class: load-item", "Request-Class: none", "x" * 9000,
    "Request-Timeout-Ms: 500", "Request-Timeout-Ms: 1e999", "Request-Timeout-Ms: -1", "Request-Id: a",
    "Affinity-Key: \xe9", "Host", ": y", "Range: bytes=0-",
)  # fmt: skip
FIELDS = (
    "v", "register", "expect", "value", "from", "group", "do", "ballot", "version", "life", "zone",
    "follower", "held", "as_of", "topics", "changes", "topic", "key", "relay", "zones", "build",
    "stage", "verdict", "rows", "standing", "kind", "index", "boxes", "news", "cap", "phase", "tally",
    "revision", "complete", "members", "up_since_ms", "size", "host_port", "id",
)  # fmt: skip
SCALARS = (
    None, True, False, 0, 1, -1, 2**31, 2**63, -(2**63) - 1, 10**400, 0.5, 1e308, -0.0, "", "a", "a" * 101,
    "\x00", "\ud800", "[", "127.0.0.1:1", "on_trial", "released", "back", "prepare", "accept", "join",
    "chosen", "job", "config/pay", "boxes/pay", "ready",
)  # fmt: skip
MAX_DEPTH = 4
MAX_MUTATIONS = 4


def random_json_value(random: Random, depth: int = 0) -> object:
    """Return a random value of JSON's types, including a few that strict JSON can't hold."""
    draw = random.random()
    if depth >= MAX_DEPTH or draw < 0.5:
        return random.choice(SCALARS)
    if draw < 0.7:
        return [random_json_value(random, depth + 1) for _ in range(random.randrange(4))]
    return {random.choice(FIELDS): random_json_value(random, depth + 1) for _ in range(random.randrange(6))}


def random_json(random: Random) -> bytes:
    """Return a random message as JSON, in most cases of the supported version, rarely malformed."""
    if random.random() < 0.05:
        return random.choice((b"[" * 5000, b'{"a":' * 5000, b"NaN", b"\xff{}", b"", b"{"))
    message = {random.choice(FIELDS): random_json_value(random) for _ in range(random.randrange(9))}
    if random.random() < 0.9:
        message["v"] = 1
    return json.dumps(message).encode("utf-8", "surrogatepass")


def random_http_request(random: Random) -> bytes:
    """Return a random HTTP request, whose body may be framed incorrectly."""
    target = random.choice(TARGETS)
    headers = random.sample(HEADERS, random.randrange(5))
    body = random_json(random) if random.random() < 0.6 else b""
    if random.random() < 0.7:
        headers += ["Host: x", f"Content-Length: {len(body)}"]
    request_line = f"{random.choice(METHODS[:2] * 6 + METHODS)} {target} HTTP/1.1"
    return "\r\n".join([request_line, *headers, "", ""]).encode("latin-1", "replace") + body


def mutate(random: Random, data: bytes) -> bytes:
    """Return the data with random bytes flipped, deleted, repeated, inserted or truncated."""
    buffer = bytearray(data)
    for _ in range(random.randrange(1, MAX_MUTATIONS + 1)):
        if not buffer:
            break
        offset = random.randrange(len(buffer))
        match random.randrange(5):
            case 0:
                buffer[offset] ^= 1 << random.randrange(8)
            case 1:
                del buffer[offset : offset + random.randrange(1, 20)]
            case 2:
                buffer[offset:offset] = buffer[offset : offset + random.randrange(1, 40)]
            case 3:
                buffer[offset:offset] = random.randbytes(random.randrange(1, 9))
            case 4:
                del buffer[offset:]
    return bytes(buffer)


def hostile_request(random: Random) -> bytes:
    """Return a random HTTP request, mutated in half of the cases."""
    request = random_http_request(random)
    return mutate(random, request) if random.random() < 0.5 else request


def hostile_datagram(random: Random) -> bytes:
    """Return a peer's datagram, mutated in half of the cases, or random bytes."""
    if random.random() < 0.2:
        return random.randbytes(random.randrange(300))
    votes = (b"vote 42 0 back", b"42 0 3", b"%d %d %d" % (random.getrandbits(70), 0, 3))
    datagram = random_json(random)[:1400] if random.random() < 0.7 else random.choice(votes)
    return mutate(random, datagram) if random.random() < 0.5 else datagram
