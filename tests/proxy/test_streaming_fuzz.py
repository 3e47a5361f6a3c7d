"""Any bytes at the HTTP edge, any text as YAML: one answer, a closed connection or one clear fault."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullmount.net import Net, Stream
from gullmount.proxy import ProxyConfig
from gullmount.scenarios.config import ScenarioConfig
from gullmount.yamlfile import InvalidFileError, parse, read
from tests.support.paths import ROOT
from tests.support.proxy_edge import OK_RESPONSE, make_proxy_config, proxy_fixture, run_with_net

quiet = settings(derandomize=True, max_examples=150, deadline=None, database=None)

lines = st.sampled_from(
    [
        b"GET /look HTTP/1.1\r\n",
        b"POST /pay HTTP/1.1\r\n",
        b"PUT /mark HTTP/1.0\r\n",
        b"GET  /look HTTP/1.1\r\n",
        b"host: x\r\n",
        b"content-length: 3\r\n",
        b"content-length: -1\r\n",
        b"content-length: 3,3\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding: gzip\r\n",
        b"connection: close\r\n",
        b"\r\n",
        b"\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"ffffffffffffffffff\r\n",
        b"abc",
        b"x-patience-ms: 9e9\r\n",
        b"x-patience-ms: 0\r\n",
        b"expect: 100-continue\r\n",
        b" folded\r\n",
        b"x\x00y: 1\r\n",
        b"\xff\xfe: \x80\r\n",
        b"cookie: a=b; =; c\r\n",
        b"upgrade: h2c\r\n",
    ]
)
bytes_of_clients = st.lists(st.one_of(lines, st.binary(max_size=20)), max_size=14).map(b"".join)
bytes_of_boxes = st.lists(
    st.one_of(
        st.sampled_from(
            [
                b"HTTP/1.1 200 OK\r\n",
                b"HTTP/1.1 099 No\r\n",
                b"HTTP/1.1 100 Go\r\n\r\n",
                b"HTTP/1.1 204 None\r\n",
                b"content-length: 2\r\n",
                b"content-length: 2\r\ncontent-length: 3\r\n",
                b"\r\n",
                b"ok",
                b"x-not-begun: 1\r\n",
                b"transfer-encoding: chunked\r\n",
                b"2\r\nok\r\n",
                b"0\r\n\r\n",
                b"HTTP/1.1 503 No\r\n",
            ]
        ),
        st.binary(max_size=20),
    ),
    max_size=10,
).map(b"".join)


@quiet
@given(bytes_of_clients)
def test_client_bytes_end_in_answers_or_a_closed_connection(data: bytes) -> None:
    async def scene(net: Net) -> None:
        async def box(stream: Stream) -> None:
            while True:
                await stream.receive()
                await stream.send(OK_RESPONSE)

        async with proxy_fixture(net, {"9001": box}, clients={"read_within": 0.5, "idle": 0.5}) as made:
            with anyio.fail_after(20):
                stream = await made.connect_client()
                await stream.send(data)
                got = await made.read_to_end(stream, 15)
            await anyio.sleep(2)
            assert not got or got.startswith(b"HTTP/1.1 ")
            assert not made.proxy.runtime.exchanges and not made.proxy.connections

    run_with_net(True, scene)


@quiet
@given(bytes_of_boxes, st.booleans())
def test_box_bytes_end_in_one_answer(data: bytes, closes: bool) -> None:
    async def scene(net: Net) -> None:
        async def box(stream: Stream) -> None:
            await stream.receive()
            await stream.send(data)
            if not closes:
                await anyio.sleep(30)

        async with proxy_fixture(net, {"9001": box}) as made:
            with anyio.fail_after(20):
                got = await made.send_and_read(
                    b"POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\na", 5
                )
            assert got.count(b"gullmount-answer: ") == 1
            assert len(set(made.outcomes)) == 1
            assert not made.proxy.runtime.exchanges

    run_with_net(True, scene)


@quiet
@given(st.text(max_size=200))
def test_any_text_is_a_file_or_one_clear_fault(text: str) -> None:
    with pytest.raises(InvalidFileError, match="any:"):
        parse(text, "any", ProxyConfig)


@quiet
@given(st.data())
def test_any_value_in_any_place_is_valid_or_named(data: st.DataObject) -> None:
    whole = (ROOT / "days" / "bad-saturday.yaml").read_text().splitlines()
    row = data.draw(st.integers(0, len(whole) - 1))
    value = data.draw(
        st.sampled_from(["", "-1", "[", "nan", "{a: b}", "x: y: z", "- 1", "!!python/object:os {}", "&a *a"])
    )
    key = whole[row].split(":")[0]
    text = "\n".join([*whole[:row], f"{key}: {value}", *whole[row + 1 :]])
    try:
        parse(text, "day.yaml", ScenarioConfig)
    except InvalidFileError as fault:
        assert all(line.startswith("day.yaml:") for line in str(fault).splitlines())


@pytest.mark.parametrize(
    ("change", "line", "words"),
    [
        ("number: 0\n", 1, ["Field required"]),
        ("number: 0\nof: none\n", 2, ["of", "integer", "'none'"]),
        ("number: 0\nwrong: 1\n", 2, ["wrong", "Extra inputs"]),
        ("number: 0\nboxes:\n  cold_share: 2\n", 3, ["boxes.cold_share", "less than or equal to 1"]),
        ("routes:\n  - name: a\n    repeats: perhaps\n", 3, ["routes.0.repeats", "retriable"]),
        ("listen: nowhere\n", 1, ["listen", "host:port"]),
        ("a: [1,\n", 2, ["not YAML"]),
        ("a: 1\na: 2\n", 2, ["not YAML"]),
        ("- 1\n", 1, ["mapping"]),
        ("a: " + "[" * 200 + "]" * 200, 1, ["nested"]),
    ],
)
def test_fault_names_file_line_and_key(change: str, line: int, words: list[str]) -> None:
    with pytest.raises(InvalidFileError) as caught:
        parse(change, "u.yaml", ProxyConfig)
    rows = [row for row in str(caught.value).splitlines() if row.startswith(f"u.yaml:{line}: ")]
    assert any(all(word in row for word in words) for row in rows), str(caught.value)


def test_terms_read_back_alike_and_file_faults_are_named(tmp_path: Path) -> None:
    file = tmp_path / "u.yaml"
    file.write_text(make_proxy_config().model_dump_json())
    assert read(file, ProxyConfig) == make_proxy_config()
    for content, words in ((b"\xff\xfe\x00", "UTF-8"), (b"a: 1\n" * 300_000, "larger")):
        file.write_bytes(content)
        with pytest.raises(InvalidFileError, match=words):
            read(file, ProxyConfig)
    with pytest.raises(InvalidFileError, match="No such file"):
        read(tmp_path / "none.yaml", ProxyConfig)
