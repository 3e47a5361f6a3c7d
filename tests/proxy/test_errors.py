"""Tests that the proxy's errors have one base class, state their fields and name the peer at fault."""

from __future__ import annotations

import pytest

from gullmount.errors import GullmountError
from gullmount.net import AddressError, parse_address
from gullmount.proxy.errors import DuplicateRouteError, InstanceNumberError, VoteRefusedError
from gullmount.proxy.http1 import ProtocolError, RequestParser, ResponseParser
from gullmount.rpc import CallError


def test_malformed_request_blames_the_client_and_malformed_response_the_server() -> None:
    request, response = RequestParser(1000), ResponseParser(1000, "GET")
    request.feed(b"GET / HTTP/1.1\r\n\r\n")
    response.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n")
    assert request.error is not None and response.error is not None
    assert (request.error.peer, request.error.status, request.error.reason) == ("client", 400, "no Host")
    assert (response.error.peer, response.error.status) == ("server", 400)
    assert "client" in str(request.error) and "server" in str(response.error)


@pytest.mark.parametrize(
    ("error", "text"),
    [
        (DuplicateRouteError(["a", "b"]), "duplicate route names: a, b"),
        (
            InstanceNumberError(3, 2),
            "number is 3, but must be at least 0 and less than 2, the number of instances",
        ),
        (VoteRefusedError(503), "status 503"),
        (ProtocolError(408, "too slow"), "protocol error by the client: too slow"),
    ],
)
def test_error_message_states_the_fields(error: GullmountError, text: str) -> None:
    assert isinstance(error, GullmountError) and str(error) == text


def test_vote_refused_error_is_a_call_error() -> None:
    assert isinstance(VoteRefusedError(503), CallError)


@pytest.mark.parametrize("text", ["", "x", ":1", "h:", "h:x", "h:65536", "h:100000"])
def test_parsing_an_invalid_address_raises_address_error_with_the_text(text: str) -> None:
    with pytest.raises(AddressError) as caught:
        parse_address(text)
    assert isinstance(caught.value, ValueError) and repr(text) in str(caught.value)
