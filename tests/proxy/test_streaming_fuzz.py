"""Fuzz tests of the proxy's HTTP connections and of the YAML configuration reader.

Any bytes end in responses or a closed connection; any invalid text ends in an error that names the file.
"""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullmount.net import Net, Stream
from gullmount.proxy import ProxyConfig
from gullmount.scenarios.config import ScenarioConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml, read_yaml
from tests.support.paths import ROOT
from tests.support.proxy_edge import OK_RESPONSE, make_proxy_config, proxy_fixture, run_with_net

reproducible = settings(derandomize=True, max_examples=150, deadline=None, database=None)

request_lines = st.sampled_from(
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
client_bytes = st.lists(st.one_of(request_lines, st.binary(max_size=20)), max_size=14).map(b"".join)
server_bytes = st.lists(
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


@reproducible
@given(client_bytes)
def test_any_client_bytes_end_in_responses_or_closed_connection(data: bytes) -> None:
    async def scenario(net: Net) -> None:
        async def run_server(stream: Stream) -> None:
            while True:
                await stream.receive()
                await stream.send(OK_RESPONSE)

        async with proxy_fixture(
            net, {"9001": run_server}, clients={"read_within": 0.5, "idle": 0.5}
        ) as harness:
            with anyio.fail_after(20):
                stream = await harness.connect_client()
                await stream.send(data)
                response = await harness.read_to_end(stream, 15)
            await anyio.sleep(2)
            assert not response or response.startswith(b"HTTP/1.1 ")
            assert not harness.proxy.runtime.exchanges and not harness.proxy.connections

    run_with_net(True, scenario)


@reproducible
@given(server_bytes, st.booleans())
def test_any_server_bytes_end_in_one_response(data: bytes, closes: bool) -> None:
    async def scenario(net: Net) -> None:
        async def run_server(stream: Stream) -> None:
            await stream.receive()
            await stream.send(data)
            if not closes:
                await anyio.sleep(30)

        async with proxy_fixture(net, {"9001": run_server}) as harness:
            with anyio.fail_after(20):
                response = await harness.send_and_read(
                    b"POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\na", 5
                )
            assert response.count(b"gullmount-answer: ") == 1
            assert len(set(harness.outcomes)) == 1
            assert not harness.proxy.runtime.exchanges

    run_with_net(True, scenario)


@reproducible
@given(st.text(max_size=200))
def test_any_text_as_proxy_configuration_raises_invalid_file_error(text: str) -> None:
    with pytest.raises(InvalidFileError, match="any:"):
        parse_yaml(text, "any", ProxyConfig)


@reproducible
@given(st.data())
def test_any_value_at_any_key_is_valid_or_reported_with_file_name(data: st.DataObject) -> None:
    scenario_lines = (ROOT / "days" / "bad-saturday.yaml").read_text().splitlines()
    index = data.draw(st.integers(0, len(scenario_lines) - 1))
    value = data.draw(
        st.sampled_from(["", "-1", "[", "nan", "{a: b}", "x: y: z", "- 1", "!!python/object:os {}", "&a *a"])
    )
    key = scenario_lines[index].split(":")[0]
    text = "\n".join([*scenario_lines[:index], f"{key}: {value}", *scenario_lines[index + 1 :]])
    try:
        parse_yaml(text, "day.yaml", ScenarioConfig)
    except InvalidFileError as error:
        assert all(line.startswith("day.yaml:") for line in str(error).splitlines())


@pytest.mark.parametrize(
    ("document", "line", "words"),
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
def test_invalid_configuration_error_names_file_line_and_key(
    document: str, line: int, words: list[str]
) -> None:
    with pytest.raises(InvalidFileError) as caught:
        parse_yaml(document, "u.yaml", ProxyConfig)
    messages = [
        message for message in str(caught.value).splitlines() if message.startswith(f"u.yaml:{line}: ")
    ]
    assert any(all(word in message for word in words) for message in messages), str(caught.value)


def test_configuration_round_trips_and_unreadable_file_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "u.yaml"
    path.write_text(make_proxy_config().model_dump_json())
    assert read_yaml(path, ProxyConfig) == make_proxy_config()
    for content, words in ((b"\xff\xfe\x00", "UTF-8"), (b"a: 1\n" * 300_000, "larger")):
        path.write_bytes(content)
        with pytest.raises(InvalidFileError, match=words):
            read_yaml(path, ProxyConfig)
    with pytest.raises(InvalidFileError, match="No such file"):
        read_yaml(tmp_path / "none.yaml", ProxyConfig)
