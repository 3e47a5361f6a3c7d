"""Server of a replica: answers requests of other replicas, clients and operators."""

from __future__ import annotations

import msgspec

from gullmount.consensus.chosen_values import ChosenValues
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.errors import (
    ForeignMessageError,
    GroupChangeError,
    NoMajorityError,
    OutcomeUnknownError,
    ReservedRegisterError,
    SourceAddressError,
    UnknownRequestError,
    ValueTooLongError,
)
from gullmount.consensus.group_changes import GroupChanges
from gullmount.consensus.local_acceptor import LocalAcceptor
from gullmount.consensus.log_events import Log, LogEvent
from gullmount.consensus.membership import GROUP
from gullmount.consensus.messages import (
    REQUESTS,
    ChosenRequest,
    EmptyAnswer,
    GroupRequest,
    RegisterAnswer,
    RegisterName,
    RegisterRequest,
    RequestHead,
    encode,
)
from gullmount.consensus.peers import PEER_PATH
from gullmount.consensus.proposer import Proposer
from gullmount.net import HandlerErrors, Stream, source_host
from gullmount.rpc import InvalidMessageError, Request, Response, convert, decode_as, decode_message, serve

# Maximum length of a request body, which holds a register's value and the fields around it.
MAX_REQUEST_BYTES = 65536
# Maximum length of a register's value, encoded as JSON.
MAX_VALUE_BYTES = 32768

REGISTER_PATH = "/v1/register"
GROUP_PATH = "/v1/group"
WATCH_PATH = "/v1/watch"

OK, BAD_REQUEST, NOT_FOUND, CONFLICT, UNAVAILABLE, OUTCOME_UNKNOWN = 200, 400, 404, 409, 503, 504
# Kinds of requests of other replicas that are also answered before the replica is admitted.
KINDS_BEFORE_ADMISSION = ("join", "adopt", "chosen")


class RequestServer:
    """Routes each request to the part of the replica that answers it.

    Attributes:
        invalid_requests: Number of invalid requests rejected so far.
        stalled_clients: Number of connections ended so far because the client accepted no data.
        handler_errors: Unexpected errors that occurred while requests were answered.
    """

    def __init__(
        self,
        config: ReplicaConfig,
        acceptor: LocalAcceptor,
        proposer: Proposer,
        chosen_values: ChosenValues,
        group_changes: GroupChanges,
        log: Log,
    ) -> None:
        self.config = config
        self.acceptor = acceptor
        self.proposer = proposer
        self.chosen_values = chosen_values
        self.group_changes = group_changes
        self.log = log
        self.invalid_requests = 0
        self.stalled_clients = 0
        self.handler_errors = HandlerErrors(log)

    async def serve(self, stream: Stream) -> None:
        """Answer the requests of one connection."""
        await serve(stream, self.answer, MAX_REQUEST_BYTES, self.handler_errors, self.note_stalled)

    def note_stalled(self) -> None:
        """Count and log a connection that ends because its client accepted no data for too long."""
        self.stalled_clients += 1
        self.log(LogEvent.CLIENT_STALLED, count=self.stalled_clients)

    async def answer(self, request: Request, stream: Stream) -> Response:
        """Answer one request. An expected error is answered with its own status and a message."""
        try:
            return await self._route(request, stream)
        except InvalidMessageError as error:
            self.invalid_requests += 1
            self.log(
                LogEvent.REQUEST_INVALID,
                source=source_host(stream),
                reason=str(error),
                count=self.invalid_requests,
            )
            return Response(BAD_REQUEST, b"not understood\n")
        except GroupChangeError as error:
            return Response(CONFLICT, f"{error}\n".encode())
        except NoMajorityError as error:
            return Response(UNAVAILABLE, f"{error}\n".encode())
        except OutcomeUnknownError as error:
            return Response(OUTCOME_UNKNOWN, f"{error}\n".encode())

    async def _route(self, request: Request, stream: Stream) -> Response:
        target = request.parse_target()
        if self.acceptor.failed:
            return Response(UNAVAILABLE, b"the disk failed\n")
        if target.path == PEER_PATH:
            return await self._answer_peer(request, stream)
        if not self.acceptor.admitted.is_set():
            return Response(UNAVAILABLE, b"not admitted yet\n")
        if target.path == REGISTER_PATH:
            return await self._answer_client(request)
        if target.path == GROUP_PATH:
            answer = await self.group_changes.handle(decode_as(request.body, GroupRequest))
            return Response(OK, encode(answer))
        if target.path == WATCH_PATH:
            register = convert(target.query.get("register", ""), RegisterName)
            return Response(OK, lines=self.chosen_values.watch(register, self.proposer.read))
        return Response(NOT_FOUND, b"nothing here\n")

    async def _answer_peer(self, request: Request, stream: Stream) -> Response:
        message = decode_message(request.body)
        head = convert(message, RequestHead)
        self._check_sender(head, stream)
        if head.kind not in KINDS_BEFORE_ADMISSION and not self.acceptor.admitted.is_set():
            return Response(UNAVAILABLE, b"not admitted yet\n")
        if head.kind not in REQUESTS:
            raise UnknownRequestError(head.kind)
        peer_request = convert(message, REQUESTS[head.kind])
        if isinstance(peer_request, ChosenRequest):
            await self.chosen_values.learn(peer_request.register, peer_request.version, peer_request.value)
            return Response(OK, encode(EmptyAnswer()))
        return Response(OK, encode(await self.acceptor.answer(head.sender, peer_request)))

    def _check_sender(self, head: RequestHead, stream: Stream) -> None:
        if head.group_name != self.config.group or head.sender not in self.acceptor.others:
            raise ForeignMessageError
        address = self.acceptor.state.group.addresses[head.sender]
        if source_host(stream) not in ("", address.rpartition(":")[0]):
            raise SourceAddressError

    async def _answer_client(self, request: Request) -> Response:
        client_request = decode_as(request.body, RegisterRequest)
        expected_version = (
            client_request.expected_version if isinstance(client_request.expected_version, int) else None
        )
        if client_request.register == GROUP and expected_version is not None:
            raise ReservedRegisterError
        value = None if client_request.value is msgspec.UNSET else client_request.value
        if len(msgspec.json.encode(value)) > MAX_VALUE_BYTES:
            raise ValueTooLongError(MAX_VALUE_BYTES)
        outcome = await self.proposer.propose(client_request.register, expected_version, value)
        answer = RegisterAnswer(
            register=client_request.register,
            version=outcome.register.version,
            value=outcome.register.client_value,
            changed=outcome.changed,
        )
        return Response(OK, encode(answer))
