"""Samples of all data that leaves a process: datagrams, RESP, JSON-RPC, gRPC, HTTP, traces, the state report.

The tests of these samples import names of the project only here, so a rename changes this file alone.
A sample is encoded to bytes and decoded to plain values; both are recorded in `data/wire`, one file for each group.
`PYTHONPATH=.:tests python tests/wire_samples.py GROUP` records a group that has no file, and rejects one that has:
recordings are what other versions send and store, so they never follow the program.
"""

import dataclasses
import json
import pathlib
import struct
import sys
import tempfile
import zlib
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import mock

import h2.config
import h2.connection
from envoy.data.accesslog.v3 import accesslog_pb2
from envoy.service.accesslog.v3 import als_pb2
from envoy.service.auth.v3 import external_auth_pb2
from google.protobuf.json_format import MessageToDict
from processes import SETTINGS
from test_config_corpus import check_text as settings_read
from test_node_front import GatewayHarness
from test_node_wire import ASK, DO, SERVED_REPLY, WIRE_SETTINGS, change_document, config_document, endpoint_row
from test_rules import settings
from twisted.internet.testing import MemoryReactorClock, StringTransport

from anisefront.upstream.deduplication import request_identity
from anisefront.gateway.request_terms import RequestTerms
from anisefront.upstream.delegated_checks import CheckResponse, Verdict
from anisefront.upstream.direct_requests import DirectRequest, DirectRequests, FinalResponse
from anisefront.config.incremental_loader import LoadOutcome
from anisefront.config.types import Recording
from anisefront.gateway.routing import first_gateway
from anisefront.gateway.errors import UnroutableRequestError
from anisefront.gateway.event_loop_lag import LagHistogram
from anisefront.gateway.steps import run_to_end
from anisefront.gateway.versions import build_next_version
from anisefront.daemon import request_records
from anisefront.daemon.gateway_instance import GatewayInstance
from anisefront.daemon.recorder import Recorder
from anisefront.cluster import datagrams, member_state, membership, replication_codec, replication_messages
from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.frontends import access_log, authorization, health, jsonrpc_dispatcher, jsonrpc_frontend
from anisefront.frontends.grpc_server import GrpcFactory
from anisefront.resp_gateway import command_mapping, resp_codec
from anisefront.resp_gateway.resp_requests import FAILED_REPLY, classify_reply, encode_rejection
from anisefront.resp_gateway.instance_config import parse_config
from anisefront.resp_gateway.endpoint_changes import EndpointDirectory
from anisefront.resp_gateway.watch_codec import WatchReader, encode_watch_request
from anisefront.resp_gateway.instance import RespGatewayInstance
from anisefront.policy import peer_codec
from anisefront.protocols import grpc, http1, orca, trace
from anisefront.protocols import jsonrpc as jsonrpc_wire
from anisefront.policy.actions import Fail, Reject, RejectionReason, StartAttempt
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointStatus,
)

FOLDER = pathlib.Path(__file__).parent / "data" / "wire"
SECRET, NOW_MS, INCARNATION = b"sixteen bytes at least", 1.8e12, "0123456789ab"
WORKER, REPORTED = "10.0.0.1:8080", ("util", "inflight")


class Sample(NamedTuple):
    """One message or report. `same` returns the part of the bytes that must be equal in each encoding, usually all."""

    write: Callable[[], bytes]
    read: Callable[[bytes], Any]
    same: Callable[[bytes], bytes] = bytes


def plain(value: Any) -> Any:
    """Return the value in JSON's types: records as lists of their values, enumeration members as their values."""
    if isinstance(value, bytes):
        return value.hex()
    if hasattr(value, "_fields"):
        return [plain(each) for each in value]
    if isinstance(value, int | float | str | type(None)) and not hasattr(value, "value"):
        return value
    if isinstance(value, dict):
        return {str(name): plain(each) for name, each in value.items()}
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    if hasattr(value, "value"):
        return value.value
    return [plain(getattr(value, field.name)) for field in dataclasses.fields(value) if field.compare]


def shape(value: Any) -> Any:
    """Return keys, nesting and the type of each value. Values that depend on the machine's speed are just objects."""
    if isinstance(value, dict):
        return {
            name: "object" if name in ("late", "slices", "notable_ms_by_cause") else shape(each)
            for name, each in value.items()
        }
    if isinstance(value, list | tuple):
        return [shape(each) for each in value]
    return type(value).__name__


# ---- datagrams between peers ---------------------------------------------------------------------


def _quota_read(data: bytes) -> Any:
    message = peer_codec.decode(data)
    items = [
        [
            int(each.kind),
            each.customer_tag,
            each.serial,
            each.units,
            each.demand_per_s,
            each.class_index,
            each.plan_index,
        ]  # by name, see MESSAGES
        for each in message.quota_messages
    ]
    return [
        message.boot,
        message.sustainable_attempts,
        items,
        [[seen.endpoint_tag, seen.class_index, seen.grade] for seen in message.observations],
    ]


def quota_samples() -> dict[str, Sample]:
    """Return samples of each kind of item, endpoint observations, a full message, and tags."""
    kinds = peer_codec.QuotaMessageKind
    items = [
        peer_codec.QuotaMessage(
            kind=kind,
            customer_tag=peer_codec.customer_tag(f"customer-{kind}", SECRET),
            serial=40_000 + kind,
            units=1.5,
            demand_per_s=12.25,
            class_index=3,
            plan_index=2,
        )
        for kind in kinds
    ]
    seen = [
        peer_codec.observation_of(WORKER, 5, float("inf")),
        peer_codec.observation_of("10.0.0.2:8080", 1, 1.0),
        peer_codec.observation_of("10.0.0.3:8080", 0, 0.25),
        peer_codec.observation_of("10.0.0.4:8080", 15, 32.0),
    ]

    def sample(boot: int, attempts: float, messages: list, observations: list) -> Sample:
        return Sample(lambda: peer_codec.encode(boot, attempts, messages, observations), _quota_read)

    out = {f"item of kind {int(item.kind)}": sample(1000, 3.25, [item], []) for item in items}
    out["no items"] = sample(0xFFFF, 0.0, [], [])
    out["observations of servers"] = sample(7, 1.0, [], seen)
    out["more than a message holds"] = sample(70_000, 5000.0, items * 3, seen * 2)
    out["customer's tag"] = Sample(
        lambda: b"%x" % peer_codec.customer_tag("customer-1", SECRET), lambda data: int(data, 16)
    )
    out["server's tag"] = Sample(lambda: b"%x" % peer_codec.endpoint_tag(WORKER), lambda data: int(data, 16))
    out["ratios of grades"] = Sample(
        lambda: json.dumps(
            [peer_codec.latency_ratio_of(peer_codec.EndpointObservation(1, 1, grade)) for grade in range(15)]
        ).encode(),
        json.loads,
    )
    return out


def _member(number: int) -> membership.Membership:
    return membership.Membership(number, 100 + number, range(4), 7, 100.0)


def _row(number: int, life: int, incarnation: int, status: int) -> member_state.MemberRow:
    return member_state.MemberRow(
        number=number, process_incarnation=life, swim_incarnation=incarnation, status=member_state.MemberStatus(status)
    )


def _rows_read(rows: Any) -> list[Any]:
    return [[row.number, row.process_incarnation, row.swim_incarnation, int(row.status)] for row in rows]


def membership_traffic() -> dict[int, bytes]:
    """Return the first message of each kind, by its second byte; one of three other members does not reply."""
    made, out, now = _member(0), dict[int, bytes](), 0.0
    rows = [
        _row(1, 101, 2, 0),
        _row(2, 102, 0, 1),
        _row(3, 103, 1, 2),
    ]
    ask = struct.Struct(">BBIH")
    heard = [
        (1, 101, ask.pack(0x4D, 5, 0, 0) + member_state.encode_rows(rows)),
        (2, 102, ask.pack(0x4D, 1, 9, 0)),
        (1, 101, ask.pack(0x4D, 3, 11, 3)),
    ]
    sent = made.handle(now) + made.handle(now, heard)
    while len(out) < 6 and now < 10_000:
        for _, data in sent:
            out.setdefault(data[1], data)
        now += 5.0
        sent = made.handle(now)
    return out


def membership_read(data: bytes) -> Any:
    """Return the member rows of a receiver of the message, and its immediate replies."""
    made = _member(1)
    replies = made.handle(0.0, [(0, 100, data)])
    return [_rows_read(made.rows.values()), [[receiver, reply.hex()] for receiver, reply in replies]]


def membership_samples() -> dict[str, Sample]:
    """Return samples of each kind of message, the leave message, and rows of each status."""
    traffic = membership_traffic()
    out = {
        f"message of kind {kind}": Sample(lambda data=data: data, membership_read)
        for kind, data in sorted(traffic.items())
    }

    def leaving() -> bytes:
        made = _member(0)
        made.handle(0.0, [(1, 101, traffic[1])])
        return made.leave()[0][1]

    rows = [_row(number, 2**40 + number, 7, number) for number in range(len(member_state.MemberStatus))]
    out["leave"] = Sample(leaving, membership_read)
    out["rows"] = Sample(
        lambda: member_state.encode_rows(rows), lambda data: _rows_read(member_state.decode_rows(data))
    )
    return out


# Records that are packed in the order of their fields are built by field name: with positional arguments, swapped
# fields would be encoded and decoded alike.
ENTRIES = (
    replication_messages.Accepted(
        request=7, requires_ack=True, remaining_ms=900, identity=b"12345678", record=b"record"
    ),
    replication_messages.AttemptStarted(request=7, attempt=0, endpoint="10.0.0.1:80"),
    replication_messages.AttemptStarted(request=7, attempt=1, endpoint="w", awaits_ack=False),
    replication_messages.AttemptDiscarded(request=7, attempt=0),
    replication_messages.Completed(request=7),
)
MESSAGES = (
    replication_messages.Append(
        epoch=3,
        backup_incarnation=2**40,
        witness=4,
        witness_incarnation=2**41,
        oldest_epoch=1,
        first_sequence=9,
        entries=ENTRIES,
    ),
    replication_messages.Append(
        epoch=1, backup_incarnation=1, witness=-1, witness_incarnation=0, oldest_epoch=1, first_sequence=1, entries=()
    ),
    replication_messages.AppendAck(epoch=3, last_sequence=12),
    replication_messages.EpochFenced(epoch=3),
    replication_messages.ReleaseEpoch(epoch=3, witness_incarnation=5),
    replication_messages.ClaimEpoch(primary=4, primary_incarnation=2**41, epoch=3, witness_incarnation=5),
    replication_messages.EpochDecision(primary=4, primary_incarnation=2**41, epoch=3, claimed=True),
    replication_messages.EpochDecision(primary=0, primary_incarnation=1, epoch=3, claimed=False),
    replication_messages.InProgressElsewhere(epoch=3, request=2**33),
    replication_messages.BackupAtCapacity(epoch=3, request=2**33),
    replication_messages.OutcomeQuery(identity=b"the name"),
    *(
        replication_messages.OutcomeReply(identity=b"the name", outcome=word, response=b"answer" if word else b"")
        for word in replication_messages.Outcome
    ),
)


def _feed(*entries: Any) -> replication_messages.Append:
    return replication_messages.Append(
        epoch=2,
        backup_incarnation=5,
        witness=-1,
        witness_incarnation=0,
        oldest_epoch=1,
        first_sequence=1,
        entries=entries,
    )


def replication_samples() -> dict[str, Sample]:
    """Return samples of each kind of message and entry."""
    every = {f"message {number}": message for number, message in enumerate(MESSAGES)}
    every |= {f"entry {number}": _feed(entry) for number, entry in enumerate(ENTRIES)}

    def read(data: bytes) -> Any:
        message = replication_codec.decode(data)
        return [replication_codec.encode(message).hex(), plain(message)]

    return {
        name: Sample(lambda message=message: replication_codec.encode(message), read) for name, message in every.items()
    }


def _gateway_instance(reactor: MemoryReactorClock | None = None, settings_more: str = "") -> GatewayInstance:
    more = (
        "members period 100ms\nkeepers lease 600ms\nseed 7\n"
        "class order aim 4s deadline 8s worth 2 repeat keyed window 20s\n" + settings_more
    )
    text = SETTINGS.format(
        number=0,
        count=2,
        room="a",
        port=7001,
        more=more,
        pool="embedded 4 cores 4 service 1ms",
        peers="peer 0 127.0.0.1:7001\npeer 1 127.0.0.1:7002",
        routes="route POST /order class order pool main",
    )
    config = settings_read(text).config
    reactor = reactor or MemoryReactorClock()
    read = LoadOutcome(config, (), (), "digest", (config.routes,))
    with mock.patch("secrets.token_hex", return_value=INCARNATION), mock.patch("secrets.randbits", return_value=7):
        return GatewayInstance(
            run_to_end(build_next_version(None, read)), reactor, lambda: 1e6 + reactor.seconds() * 1000
        )


CALL = {
    "method": "POST",
    "path": "/order",
    "body": "two\nlines",
    "headers": {"X-Api-Key": "stall-7", "x-idempotency-key": "key-1"},
}


def _replicated_entry(ask: Callable[[GatewayInstance], Any]) -> Any:
    """Return the entry that is replicated for an arriving request."""
    made, out = _gateway_instance(), []
    made.replication_service.primary.accept = lambda now, taken, *lock: bool(out.append(taken)) or True
    ask(made)
    return out[0]


def _submit_direct(made: GatewayInstance) -> None:
    made.dispatcher.submit(CALL, lambda answer: None)


def _submit_delegated(made: GatewayInstance) -> None:
    made.delegated_requests.first_check(
        "request-1",
        lambda answer: None,
        RequestTerms("stall-7", "order", "wide", 1_004_000.0, 2.5, 1, 1, False),
        "h",
        "key-1",
    )


def _read_response(data: bytes) -> Any:
    answer = request_records.decode_response(data)
    rest = [answer.endpoint, answer.attempts, answer.is_rejected, answer.retry_after_ms, answer.reason]
    return [plain(answer.message), *rest]


def _take_over(data: bytes) -> Any:
    """Return the state of a request that an instance takes over by its record, and its content digest."""
    made = _gateway_instance()
    kept = ReplicatedRequest(
        request=9,
        requires_ack=True,
        deadline_ms=1_005_000.0,
        identity=b"the name",
        record=data,
        attempts={1: (WORKER, 900.0)},
    )
    made.replication_service.takeover.take_over(1, 101, kept)
    inherited = made.replication_service.takeover._inherited.get(b"the name")
    if inherited is not None:
        return [
            list(inherited.origin),
            inherited.idempotency_key,
            list(dataclasses.astuple(inherited.terms))[:-1],
            plain(inherited.uncertain_attempts),
        ]
    (entry,) = made.request_table.requests.values()
    a, past = entry.arrival, entry.arrival.prior_attempts
    return [
        [a.customer, a.class_name, a.plan_name, a.deadline_at_ms, a.units, a.first_gateway, a.spread],
        [past.attempts, past.uncertain, past.endpoint, past.started_ms, past.quota_debited],
        [entry.replica.handler_kind, entry.replica.idempotency_key, entry.replica.data],
        b"the name" in made.replication_service.deduplicator,
    ]


def takeover_samples() -> dict[str, Sample]:
    """Return samples of replicated requests, decoded by taking them over."""
    return {
        "own": Sample(lambda: _replicated_entry(_submit_direct).record, _take_over),
        "proxied": Sample(lambda: _replicated_entry(_submit_delegated).record, _take_over),
    }


def record_samples() -> dict[str, Sample]:
    """Return samples of replicated requests and responses, and of derived keys."""
    kinds = {"view": None, "order": None}
    out = {}
    for name, ask in (("own", _submit_direct), ("proxied", _submit_delegated)):
        out[f"record of a request, {name}"] = Sample(
            lambda ask=ask: _replicated_entry(ask).record,
            lambda data: plain(request_records.decode_record(data, kinds)),
        )
        out[f"entry of a request, {name}"] = Sample(
            lambda ask=ask: replication_codec.encode(
                replication_messages.Append(1, 2, -1, 0, 1, 1, (_replicated_entry(ask),))
            ),
            lambda data: plain(replication_codec.decode(data)),
        )
    answers = {
        "served": FinalResponse(
            message=http1.Message("", "", 201, {"a": "b"}, b"\0body", True), endpoint=WORKER, attempts=2
        ),
        "refused": FinalResponse(is_rejected=True, retry_after_ms=250.0, reason="quota"),
        "failed": FinalResponse(reason="failed"),
    }
    out |= {
        f"answer, {name}": Sample(lambda answer=answer: request_records.encode_response(answer), _read_response)
        for name, answer in answers.items()
    }
    job = DirectRequest("POST", "/order", {"x": "y"}, b"body")
    out["name"] = Sample(lambda: request_identity("stall-7", "key-1", SECRET), bytes.hex)
    out["mark of what is asked"] = Sample(lambda: request_records.content_digest(job), bytes.hex)
    out["first gateways"] = Sample(
        lambda: json.dumps([first_gateway(f"customer-{n}", SECRET, 1000) for n in range(8)]).encode(), json.loads
    )
    return out


def sealed_samples() -> dict[str, Sample]:
    """Return samples of authenticated datagrams. Time and sequence are given, so the bytes are reproducible."""

    def write(count: int, data: bytes) -> bytes:
        authenticator = datagrams.DatagramAuthenticator(SECRET, 3, 2**41 + 5)
        return [authenticator.write(9, data, NOW_MS + 0.75) for _ in range(count)][-1]

    def read(data: bytes) -> Any:
        authenticator = datagrams.DatagramAuthenticator(SECRET, 9, 1)
        taken = authenticator.read(data, NOW_MS + 10.0)
        return [plain(taken), authenticator.peers[3].process_incarnation, dict(authenticator.counts)]

    return {"first": Sample(lambda: write(1, b"news"), read), "third": Sample(lambda: write(3, b""), read)}


def _sealed_read(data: bytes) -> Any:
    authenticator = datagrams.DatagramAuthenticator(SECRET, 9, 1)
    return [authenticator.read(data, NOW_MS + 10.0), dict(authenticator.counts)]


def rejected_samples() -> dict[str, Sample]:
    """Return samples of rejected data: unknown version or kind, truncated, too long, forged, misdirected, too old."""
    quota = quota_samples()["item of kind 1"].write()
    reply = membership_traffic()[2]
    feed, sealed = replication_codec.encode(MESSAGES[0]), sealed_samples()["first"].write()
    kinds = {"order": None}
    other, late = datagrams.DatagramAuthenticator(SECRET, 3, 1), datagrams.DatagramAuthenticator(SECRET, 3, 1)
    made: dict[str, tuple[bytes, Callable[[bytes], Any]]] = {
        "quota: version": (b"\x02" + quota[1:], peer_codec.decode),
        "quota: kind": (quota[:6] + b"\x07" + quota[7:], peer_codec.decode),
        "quota: cut off": (quota[:-1], peer_codec.decode),
        "quota: too long": (quota + bytes(255), peer_codec.decode),
        "membership: mark": (b"\x4e" + reply[1:], membership_read),
        "membership: kind": (reply[:1] + b"\x09" + reply[2:], membership_read),
        "membership: cut off": (reply[:-1], membership_read),
        "replication: mark": (b"\x4c" + feed[1:], replication_codec.decode),
        "replication: kind": (feed[:1] + b"\x0b" + feed[2:], replication_codec.decode),
        "replication: cut off": (feed[:-1], replication_codec.decode),
        "replication: too long": (feed + b"x", replication_codec.decode),
        "replication: entry": (feed[:33] + b"\x05" + feed[34:], replication_codec.decode),
        "sealed: version": (b"\x02" + sealed[1:], _sealed_read),
        "sealed: forged": (sealed[:-1] + b"x", _sealed_read),
        "sealed: misdirected": (other.write(8, b"news", NOW_MS), _sealed_read),
        "sealed: too old": (late.write(9, b"news", NOW_MS - 10_000.0), _sealed_read),
        "record: version": (
            b'[2,"own","","c","order","wide",1.0,0,1,{}]',
            lambda data: plain(request_records.decode_record(data, kinds)),
        ),
        "record: class": (
            b'[1,"own","","c","x","wide",1.0,0,1,{}]',
            lambda data: plain(request_records.decode_record(data, kinds)),
        ),
        "record: too short": (
            b'[1,"own","","c","order","wide",1.0,0,1]',
            lambda data: plain(request_records.decode_record(data, kinds)),
        ),
        "answer: no list": (b"{}", request_records.decode_response),
        "trace: version": (b"anisefront trace 2\n", lambda data: plain(trace.decode_file(data))),
        "trace: cut off": (trace.FILE_HEADER + b"AT\0", lambda data: plain(trace.decode_file(data))),
    }
    return {name: Sample(lambda data=data: data, read) for name, (data, read) in made.items()}


# ---- RESP and discovery --------------------------------------------------------------------------


def _exchange(*commands: list[bytes], action: Any = None, worker: bytes = b"", raw: bytes = b"") -> tuple[bytes, bytes]:
    """Return the bytes sent to a worker and to a client."""
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, *commands)
    if raw:
        client.protocol.dataReceived(raw)
        harness.run_iteration()
    if action is not None:
        harness.run_iteration(action)
    asked = b""
    if worker:
        link = harness.connect_worker()
        asked = link.take()
        link.protocol.dataReceived(worker)
        harness.run_iteration()
    return asked, client.take()


def _commands(data: bytes) -> Any:
    reader = resp_codec.CommandReader()
    return [plain(reader.feed(data)), reader.error is None]


def _mapped_request(data: bytes) -> Any:
    (command,) = resp_codec.CommandReader().feed(data)
    wanted = command_mapping.CommandMapper(settings()).to_request(command)
    return plain(wanted)


def _worker_reply(data: bytes) -> Any:
    reader = resp_codec.WorkerReplyReader()
    answer = reader.feed(data)
    return [
        plain(answer),
        plain(classify_reply(answer)),
        plain(command_mapping.load_report_values(answer.load_report, ("util", "inflight"))),
    ]


def resp_samples() -> dict[str, Sample]:
    """Return samples of client commands, worker commands, worker replies and client replies."""
    go = StartAttempt(1, "s1", 400.0)
    client = {
        "served": _lazy_exchange(ASK, action=go, worker=SERVED_REPLY),
        "failed": _lazy_exchange(ASK, action=Fail(1)),
        **{
            f"refused for {reason.value}": _lazy_exchange(ASK, action=Reject(1, 120.4, reason))
            for reason in RejectionReason
        },
        "refused without a time": _lazy_exchange(ASK, action=Reject(1)),
        "ping": _lazy_exchange([b"PING"]),
        "ping with a text": _lazy_exchange([b"ping", b"x"]),
        "client": _lazy_exchange([b"CLIENT", b"SETNAME", b"x"]),
        "select": _lazy_exchange([b"SELECT", b"0"]),
        "unknown": _lazy_exchange([b"GET", b"x"]),
        "too few parts": _lazy_exchange([b"Q.ASK", b"x"]),
        "bad customer": _lazy_exchange([b"Q.ASK", b"x", *ASK[2:]]),
        "bad id": _lazy_exchange([*ASK[:2], b"x", ASK[3]]),
        "no such class": _lazy_exchange([*ASK[:3], b"c=x,t=rated,d=1"]),
        "term not known": _lazy_exchange([*ASK[:3], b"c=look,t=rated,d=1,z=1"]),
        "wrong verb": _lazy_exchange([b"Q.DO", *ASK[1:]]),
        "no such plan": _lazy_exchange([*ASK[:3], b"c=look,t=x,d=1"]),
        "no key": _lazy_exchange([*DO[:3], b"c=book,t=rated,d=1"]),
        "bad deadline": _lazy_exchange([*ASK[:3], b"c=look,t=rated,d=0"]),
        "open id": _lazy_exchange(ASK, ASK, action=Reject(1)),
        "unreadable": _lazy_exchange(raw=b"GET / HTTP/1.1\r\n\r\n"),
        "bad length": _lazy_exchange(raw=b"*1\r\n$x\r\n"),
        "too many parts": _lazy_exchange(raw=b"*99\r\n"),
    }
    out = {f"to a client, {name}": Sample(lambda make=make: make()[1], bytes.hex) for name, make in client.items()}
    worker = {
        "asked": _lazy_exchange(ASK, action=go, worker=SERVED_REPLY),
        "done": _lazy_exchange(DO, action=go, worker=SERVED_REPLY),
    }
    out |= {
        f"to a worker, {name}": Sample(lambda make=make: make()[0], _mapped_request) for name, make in worker.items()
    }
    out["commands"] = Sample(
        lambda: resp_codec.encode_command(ASK) + resp_codec.encode_command(DO) + resp_codec.encode_command([b"PING"]),
        _commands,
    )
    answers = {
        "served": SERVED_REPLY,
        "busy": b"-BUSY util=0.5,inflight=3\r\n",
        "failed": b"-ERR failed util=1,inflight=2\r\n",
        "error not known": b"-ERR what\r\n",
        "figures": b"*3\r\n$1\r\nx\r\n:5\r\n+util=1,inflight=2\r\n",
    }
    out |= {f"from a worker, {name}": Sample(lambda data=data: data, _worker_reply) for name, data in answers.items()}
    out["refusal"] = Sample(
        lambda: encode_rejection(0.0) + encode_rejection(0.2) + encode_rejection(250.0) + FAILED_REPLY, bytes.hex
    )
    out["error of two lines"] = Sample(lambda: resp_codec.encode_error(b"ERR a\r\nb"), bytes.hex)
    return out


def _lazy_exchange(*commands: list[bytes], **more: Any) -> Callable[[], tuple[bytes, bytes]]:
    return lambda: _exchange(*commands, **more)


def _directory_states(data: bytes) -> Any:
    """Return the endpoint directory after each change of a watch response."""
    reader, directory, out = WatchReader(), EndpointDirectory(), []
    for change in reader.feed(data):
        applied = directory.apply(change)
        out.append(
            [
                directory.version,
                plain(applied.endpoints),
                applied.replaced,
                {name: list(each.address) for name, each in directory.entries.items()},
            ]
        )
    return out


def discovery_samples() -> dict[str, Sample]:
    """Return samples of the request that opens a watch, and of responses to it."""
    request = Sample(
        lambda: encode_watch_request(41, "127.0.0.1:8500"), lambda data: plain(http1.MessageReader(True).feed(data)[0])
    )
    lines = [
        json.dumps(each).encode() + b"\n"
        for each in (
            change_document(
                41, endpoint_row("s1", "10.0.0.1:80"), endpoint_row("s2", "10.0.0.2:80", since=7), snapshot=True
            ),
            change_document(42, endpoint_row("s2", "10.0.0.2:81", status="leaving")),
            change_document(43, endpoint_row("s1", "10.0.0.1:80", status="left")),
        )
    ]
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    answer = head + b"".join(b"%x\r\n%b\r\n" % (len(line), line) for line in lines)
    return {"watch request": request, "changes": Sample(lambda: answer, _directory_states)}


# ---- JSON-RPC, gRPC, HTTP ------------------------------------------------------------------------

FINAL_RESPONSES = {
    "served": FinalResponse(
        http1.Message("", "", 200, {"content-type": "text/plain"}, "gr\u00fc\u00df".encode(), True), WORKER, 2
    ),
    "served bytes": FinalResponse(http1.Message("", "", 500, {}, b"\xff\0", True), WORKER, 1),
    **{
        f"refused for {reason}": FinalResponse(is_rejected=True, retry_after_ms=1234.5, reason=reason)
        for reason in (
            *(each.value for each in RejectionReason),
            "draining",
            "held-requests",
            "in-progress",
            "another-request-under-this-name",
        )
    },
    "failed": FinalResponse(reason="failed"),
    "ended elsewhere": FinalResponse(reason="ended-elsewhere"),
}
CALL_LINE = {"jsonrpc": "2.0", "id": 1, "method": "call", "params": CALL}


class _Transport(StringTransport):
    def setTcpNoDelay(self, wanted: bool) -> None:
        """Do nothing."""

    setTcpKeepAlive = setTcpNoDelay


class _FixedResponse:
    """Gives the same response to each request."""

    def __init__(self, answer: FinalResponse) -> None:
        self._response = answer

    def accept(self, job: Any, done: Callable[[Any], None], *more: Any) -> None:
        done(self._response)


def _map(method: str, host: str, target: str, headers: dict) -> Any:
    if target != "/order":
        raise UnroutableRequestError(404, "no-route")
    return SimpleNamespace(
        target=target,
        customer="stall-7",
        class_name="order",
        plan="wide",
        deadline_ms=8000.0,
        units=1.0,
        is_retry=False,
    )


def _router() -> Any:
    return SimpleNamespace(route=_map)


def _unmapped(method: str, path: str, headers: dict[str, str]) -> bytes:
    """Return the status and the reason for a request that the settings do not route."""
    try:
        _gateway_instance().router().route(method, "shop", path, headers)
    except UnroutableRequestError as error:
        return f"{error.status} {error}".encode()
    raise AssertionError("it is mapped")


def jsonrpc_response(
    line: bytes, answer: FinalResponse = FINAL_RESPONSES["served"], draining: bool = False, max_connections: int = 512
) -> bytes:
    """Return the bytes sent to a client for a line."""
    reactor = MemoryReactorClock()
    dispatcher = jsonrpc_dispatcher.CallDispatcher(
        _router, _FixedResponse(answer), lambda: 1e6, lambda customer: (0, 1), lambda: {"state": "serving"}
    )
    dispatcher.draining = draining
    connection = jsonrpc_frontend.JsonRpcFactory(reactor, dispatcher, max_connections).buildProtocol(None)
    transport = _Transport()
    transport.unregisterProducer = transport.loseWriteConnection = lambda: None
    connection.makeConnection(transport)
    connection.dataReceived(line)
    reactor.advance(0)
    return transport.value()


def jsonrpc_samples() -> dict[str, Sample]:
    """Return samples of responses: served, rejected for each reason, failed, and errors for invalid calls."""
    call = json.dumps(CALL_LINE).encode() + b"\n"

    def line(**more: Any) -> bytes:
        return json.dumps(CALL_LINE | more).encode() + b"\n"

    def params(**more: Any) -> bytes:
        return line(params=CALL | more)

    out = {name: (call, answer) for name, answer in FINAL_RESPONSES.items()}
    lines = {
        "no JSON": b"{\n",
        "empty batch": b"[]\n",
        "no object": b"1\n",
        "long batch": b"[" + b"1," * 256 + b"1]\n",
        "no version": line(jsonrpc="1.0"),
        "bad id": line(id=[1]),
        "bad method": line(method=1),
        "bad parameters": line(params=1),
        "no such method": line(method="x"),
        "state": line(method="state"),
        "batch": b'[1,{"jsonrpc":"2.0","method":"call","params":' + json.dumps(CALL).encode() + b',"id":"a"}]\n',
        "unmapped": params(path="/x"),
        "no path": params(path="x"),
        "parameter not known": params(x=1),
        "no string": params(body=1),
        "bad headers": params(headers=[]),
        "parameters in an array": line(params=[]),
        "header twice": params(headers={"a": "1", "A": "2"}),
        "bad header": params(headers={"a b": "1"}),
    }
    samples = {name: Sample(lambda each=each: jsonrpc_response(*each), json.loads) for name, each in out.items()}
    samples |= {name: Sample(lambda each=each: jsonrpc_response(each), json.loads) for name, each in lines.items()}
    samples["draining"] = Sample(lambda: jsonrpc_response(call, draining=True), json.loads)
    samples["too many connections"] = Sample(lambda: jsonrpc_response(b"", max_connections=0), json.loads)
    samples["calls that are read"] = Sample(
        lambda: b"[%b,%b]" % (call.strip(), line(method=1).strip()), lambda data: plain(jsonrpc_wire.parse_line(data))
    )
    return samples


class _Call:
    """Records the message with which a gRPC method finishes its call."""

    peer = "127.0.0.1"

    def __init__(self) -> None:
        self.message = b""

    def finish(self, message: bytes) -> None:
        self.message = message


def _check(answer: CheckResponse | None, path: str = "/order", draining: bool = False) -> bytes:
    """Return the response to an authorization check."""

    def ask(request_id: str, reply: Callable[[Any], None], *more: Any) -> None:
        reply(answer)

    request = external_auth_pb2.CheckRequest()
    http = request.attributes.request.http
    http.method, http.path, http.host = "POST", path, "shop"
    service = authorization.AuthorizationService(
        _router, SimpleNamespace(first_check=ask), lambda: 1e6, lambda customer: (0, 1)
    )
    service.draining = draining
    call = _Call()
    service.method()(call).message_received(request.SerializeToString())
    return call.message


def _response(data: bytes) -> Any:
    return MessageToDict(external_auth_pb2.CheckResponse.FromString(data), preserving_proto_field_name=True)


def authorization_samples() -> dict[str, Sample]:
    """Return samples of check responses: allowed, rejected for each reason, failed, unroutable."""
    verdict, answer = Verdict, CheckResponse
    go = answer(verdict.START_ATTEMPT, WORKER, 412.7, f"{INCARNATION}.17.0")
    reasons = (*(each.value for each in RejectionReason), "in-progress", "held-requests")
    made = {
        "allowed": lambda: _check(go),
        "unmapped": lambda: _check(None, "/x"),
        "draining": lambda: _check(None, draining=True),
        "allowed with another path": lambda: authorization.encode_allowed(go, "/normal"),
        **{
            f"failed: {reason}": lambda reason=reason: _check(answer(verdict.FAILED, reason=reason))
            for reason in ("failed", "unknown-attempt")
        },
        **{
            f"refused for {reason}": lambda reason=reason: _check(
                answer(verdict.REJECTED, retry_after_ms=1234.5, reason=reason)
            )
            for reason in reasons
        },
        **{
            f"denied with {status}": lambda status=status: authorization.encode_denied(status, "why", {})
            for status in (400, 401, 403, 404, 409, 429, 502, 503)
        },
    }
    out = {name: Sample(write, _response) for name, write in made.items()}
    out["method paths"] = Sample(lambda: b" ".join(sorted(_gateway_instance().grpc.methods)), bytes.decode)
    unmapped = {
        "no route": ("GET", "/x", {}),
        "no key": ("POST", "/order", {}),
        "unclear path": ("POST", "/order/%2e%2e/%00", {"x-api-key": "stall-7"}),
    }
    return out | {
        f"unmapped: {name}": Sample(lambda each=each: _unmapped(*each), bytes.decode) for name, each in unmapped.items()
    }


class _Logged:
    """Records how a proxy's log entries are interpreted."""

    def __init__(self) -> None:
        self.seen: list[Any] = []

    def attempt_logged(self, token: str, result: AttemptResult, *more: Any) -> bool:
        self.seen.append([token, result.value, *plain(more)])
        return True

    def denial_logged(self, *which: str) -> bool:
        self.seen.append(list(which))
        return True


def _log_message(entries: list[Any]) -> bytes:
    return als_pb2.StreamAccessLogsMessage(http_logs={"log_entry": entries}).SerializeToString()


def _entry(status: int, flag: str = "", **headers: str) -> Any:
    """Return an access log entry of an attempt that took 12.5 ms."""
    entry = accesslog_pb2.HTTPAccessLogEntry()
    entry.request.request_headers["x-anisefront-attempt"] = f"{INCARNATION}.17.0"
    entry.response.response_code.value = status
    common = entry.common_properties
    common.time_to_first_upstream_tx_byte.FromMicroseconds(1000)
    common.time_to_last_upstream_rx_byte.FromMicroseconds(13_500)
    for name, value in headers.items():
        entry.response.response_headers[name.replace("_", "-")] = value
    if flag == "unauthorized_details":
        common.response_flags.unauthorized_details.SetInParent()
    elif flag:
        setattr(common.response_flags, flag, True)
    return entry


def _log_read(data: bytes) -> Any:
    seen = _Logged()
    access_log.method(seen, REPORTED)(_Call()).message_received(data)
    return seen.seen


def access_log_samples() -> dict[str, Sample]:
    """Return samples of access log entries: statuses, the header of an overloaded endpoint, each response flag."""
    unsent = accesslog_pb2.HTTPAccessLogEntry()
    unsent.request.request_id = "request-1"
    unsent.common_properties.response_flags.unauthorized_details.SetInParent()
    unsent.response.response_code_details = "ext_authz_error"
    flags = sorted(field.name for field in accesslog_pb2.ResponseFlags.DESCRIPTOR.fields)
    entries = {
        "statuses": [_entry(status) for status in (0, 200, 404, 429, 500, 503)],
        "overloaded": [_entry(status, x_envoy_overloaded="true") for status in (200, 429, 500, 503)],
        "reports": [_entry(200, endpoint_load_metrics="TEXT cpu_utilization=0.5, named_metrics.inflight=3")],
        "flags": [_entry(503, flag) for flag in flags],
        "not sent": [unsent],
    }
    return {name: Sample(lambda rows=rows: _log_message(rows), _log_read) for name, rows in entries.items()}


def _grpc(path: str, message: bytes | None, *, change: Any = None, **headers: str) -> bytes:
    """Return all bytes that the server sends on a connection with one call."""
    reactor, state = MemoryReactorClock(), health.HealthService(("one",))
    connection = GrpcFactory(reactor, state.methods()).buildProtocol(None)
    transport = _Transport()
    connection.makeConnection(transport)
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    client.send_headers(
        1,
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":authority", "x"),
            (":path", path),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
            *((name.replace("_", "-"), value) for name, value in headers.items()),
        ],
    )
    client.send_data(1, b"" if message is None else grpc.encode_message(message), end_stream=change is None)
    connection.dataReceived(client.data_to_send())
    reactor.advance(0)
    if change is not None:
        state.set_all(change)
        reactor.advance(0)
    connection.connectionLost()
    return transport.value()


def _frames(data: bytes) -> Any:
    """Return the headers and data that an independent client decodes."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    client.send_headers(1, [(":method", "POST"), (":scheme", "http"), (":authority", "x"), (":path", "/")])
    out = []
    for event in client.receive_data(data):
        if hasattr(event, "headers"):
            out.append([[name.decode(), value.decode()] for name, value in event.headers])
        elif hasattr(event, "data"):
            out.append(event.data.hex())
    return out


def grpc_samples() -> dict[str, Sample]:
    """Return samples of health checks and watches, calls that end with an error status, and message framing."""
    check, watch = "/grpc.health.v1.Health/Check", "/grpc.health.v1.Health/Watch"
    made = {
        "health of the server": (check, b""),
        "health of a service": (check, b"\x0a\x03one"),
        "health of a service not known": (check, b"\x0a\x01x"),
        "no message": (check, None),
        "unreadable message": (check, b"\x0a\x7f"),
        "no such method": ("/a.B/C", b""),
    }
    out = {name: Sample(lambda each=each: _grpc(*each), _frames) for name, each in made.items()}
    out["health watched"] = Sample(lambda: _grpc(watch, b"", change=health.ServingStatus.NOT_SERVING), _frames)
    out["health of a service not known, watched"] = Sample(
        lambda: _grpc(watch, b"\x0a\x01x", change=health.ServingStatus.NOT_SERVING), _frames
    )
    out["bad time-out"] = Sample(lambda: _grpc(check, b"", grpc_timeout="x"), _frames)
    out["message"] = Sample(
        lambda: grpc.encode_message(b"message"), lambda data: plain(grpc.MessageDecoder(100).feed(data))
    )
    out |= {
        f"trailers of status {int(status)}": Sample(
            lambda status=status: grpc.encode_trailers(status, "50% \u00fc"), bytes.hex
        )
        for status in grpc.StatusCode
    }
    out["only trailers"] = Sample(lambda: grpc.encode_trailers_only(grpc.StatusCode.UNAVAILABLE, "why"), bytes.hex)
    out["time-outs"] = Sample(
        lambda: b"1H 2M 3S 4m 5u 6n", lambda data: [grpc.decode_timeout_ms(each) for each in data.split()]
    )
    return out


def _orca(headers: dict[str, str]) -> Sample:
    return Sample(
        lambda: json.dumps(headers).encode(),
        lambda data: [
            orca.decode_report(json.loads(data)),
            plain(orca.select_fields(orca.decode_report(json.loads(data)), REPORTED)),
        ],
    )


def http_samples() -> dict[str, Sample]:
    """Return samples of encoded requests and responses, and of load reports."""
    direct_requests = DirectRequests(SimpleNamespace(), SimpleNamespace(), INCARNATION, REPORTED)
    job = DirectRequest("POST", "/order?a=b", {"x-idempotency-key": "key-1"}, b"two\nlines")

    def attempt(job: DirectRequest) -> bytes:
        return direct_requests.encode_request(SimpleNamespace(request=job), "17.0", WORKER, 400.0)[0]

    def read(requests: bool) -> Callable[[bytes], Any]:
        return lambda data: [plain(each) for each in http1.MessageReader(requests).feed(data)]

    made = {
        "attempt": lambda: attempt(job),
        "attempt of HEAD": lambda: attempt(DirectRequest("HEAD", "/", {}, b"")),
        "request with an empty body": lambda: http1.encode_request("PUT", "/", {"host": "x"}),
        "request without a body": lambda: http1.encode_request("GET", "/", {"host": "x", "content-length": "9"}),
    }
    out = {name: Sample(write, read(True)) for name, write in made.items()}
    out |= {
        f"response {status}": Sample(
            lambda status=status: http1.encode_response(status, {"a": "b"}, b"body"), read(False)
        )
        for status in (*sorted(http1.REASONS), 418)
    }
    out |= {
        "report as text": _orca({"endpoint-load-metrics": "TEXT cpu_utilization=0.5, named_metrics.inflight=3"}),
        "report as JSON": _orca(
            {
                "endpoint-load-metrics": 'JSON {"cpu_utilization": 0.5, "eps": 1, '
                '"named_metrics": {"inflight": 3, "queue": 4}}'
            }
        ),
        "report as bytes": _orca({"endpoint-load-metrics-bin": "CQAAAAAAAOA/QhMKCGluZmxpZ2h0EQAAAAAAAAhA"}),
        "report that can't be read": _orca({"endpoint-load-metrics": "XML <a/>"}),
    }
    return out


# ---- traces and reports --------------------------------------------------------------------------

RECORDED = (
    EndpointList(
        (
            Endpoint(WORKER, "a", 1, EndpointStatus.READY),
            Endpoint("10.0.0.2:8080", "b", 0, EndpointStatus.DRAINING, 1.0, 5.0),
        )
    ),
    Arrival(1, "stall-7", "order", "wide", 1_004_000.0, 2.5, 1, 2, True, False),
    Arrival(2, "", "view", "wide", 1e6),
    StartAttempt(1, WORKER, 400.0),
    AttemptEnded(1, 0, WORKER, 12.345, AttemptResult.OVERLOADED, False),
    Reject(1, 10.0, RejectionReason.QUOTA),
    StartAttempt(2, WORKER, 400.0),
    AttemptEnded(2, 0, WORKER, 3.0, AttemptResult.OK, True),
    Fail(3),
    ClientDisconnected(4),
    *(AttemptEnded(5, number, WORKER, 1.0, result, False) for number, result in enumerate(AttemptResult)),
    *(Reject(6, 0.0, reason) for reason in RejectionReason),
    EndpointList((), failed=True),
)


def recorded_file() -> bytes:
    """Return the file of a recorder that recorded one event of each kind."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(pathlib.Path(folder) / "trace")
        recorder = Recorder(Recording(path, 1 << 20, 2, b"key"), 3, INCARNATION, 1e6)
        for number, thing in enumerate(RECORDED):
            recorder.record_event(1e6 + number * 1.125, thing)
            if number == 5:
                recorder.flush()
        recorder.flush()
        return pathlib.Path(path).read_bytes()


def unpacked(data: bytes) -> bytes:
    """Return the file with its blocks decompressed: the compressed bytes depend on the library's version."""
    head, at = data.index(b"\n") + 1, data.index(b"\n") + 1
    out = data[:head]
    while at < len(data):
        mark, size, check = struct.unpack_from(">2sLL", data, at)
        packed = data[at + 10 : at + 10 + size]
        assert len(packed) == size and zlib.crc32(packed) == check
        out += mark + zlib.decompress(packed) + b"\n"
        at += 10 + size
    return out


def trace_samples() -> dict[str, Sample]:
    """Return samples of a recorded trace and of a pseudonym in it."""
    return {
        "file": Sample(recorded_file, lambda data: plain(trace.decode_file(data)), unpacked),
        "text of the file": Sample(lambda: unpacked(recorded_file()), bytes.hex),
        "pseudonym": Sample(lambda: trace.pseudonym(b"key", "stall-7").encode(), bytes.decode),
    }


def state_at_work() -> dict[str, Any]:
    """Return the state report of an instance that records, has a peer and open requests, and received invalid data."""
    reactor = MemoryReactorClock()
    with tempfile.TemporaryDirectory() as folder:
        made = _gateway_instance(reactor, f'record "{folder}/trace" key "sixteen bytes at least"\n')
    incarnation, peer = int(NOW_MS), datagrams.DatagramAuthenticator(SECRET, 1, int(NOW_MS))
    made.peer_port.transport = SimpleNamespace(write=lambda data, address: None)
    made.membership_service.start()
    made.request_table.update_endpoints(EndpointList((Endpoint(WORKER, "a", 0, EndpointStatus.READY),)))
    for data in (
        membership_traffic()[1],
        replication_codec.encode(replication_messages.AppendAck(1, 1)),
        b"K",
        b"M",
        peer_codec.encode(1, 1, [], []),
    ):
        with mock.patch("time.time", return_value=NOW_MS / 1000):
            made.peer_port.datagramReceived(peer.write(0, data, NOW_MS), ("127.0.0.1", 7002))
    made.peer_port.datagramReceived(b"x", ("127.0.0.1", 7002))
    reactor.advance(0.01)
    assert made.datagram_authenticator.peers[1].process_incarnation == incarnation
    for number in range(3):
        made.dispatcher.submit(
            CALL | {"headers": {"x-api-key": "stall-7", "x-idempotency-key": f"key-{number}"}}, lambda answer: None
        )
    made.delegated_requests.next_check("x", lambda answer: None)
    made.replication_service.on_member_changes([member_state.MemberChange(_row(1, incarnation, 0, 0), None)])
    reactor.advance(0.2)
    return made.state()


def node_state() -> dict[str, Any]:
    """Return the state report of a platform instance that served a request and rejected an invalid command."""
    reactor = MemoryReactorClock()
    known = change_document(41, endpoint_row("s1", "127.0.0.1:7001"), snapshot=True)
    own_settings = WIRE_SETTINGS | {"balancers": 1, "myNumber": 0}
    made = RespGatewayInstance(
        parse_config(config_document(settings=own_settings, known=known, peers=[], peer_listen=None), {}),
        reactor,
        lambda: 1e6 + reactor.seconds() * 1000,
    )
    made.prepare()
    client = GatewayHarness.connect_transport(made.frontend)
    terms_ = b"c=look,t=rated,d=480"
    client.protocol.dataReceived(
        resp_codec.encode_command([*ASK[:3], terms_]) + resp_codec.encode_command([b"GET", b"x"])
    )
    reactor.advance(0.01)
    worker = GatewayHarness.connect_transport(reactor.tcpClients[-1][2])
    worker.protocol.dataReceived(SERVED_REPLY.replace(b",x", b"").replace(b"$22", b"$20"))
    reactor.advance(0.05)
    assert client.take().startswith(b"$5")
    return made.state()


def _lag() -> dict[str, Any]:
    lag = LagHistogram()
    for late in (0.1, 3.0, 30.0, 300.0, 3000.0, 30_000.0, 300_000.0):
        lag.record(late, None)
    return lag.report()


def _shown(make: Callable[[], Any]) -> Sample:
    return Sample(lambda: json.dumps(make(), indent=1).encode(), json.loads)


def state_samples() -> dict[str, Sample]:
    """Return samples of the keys, nesting and types of state reports, and of a histogram."""
    return {
        "fresh": _shown(lambda: shape(_gateway_instance().state())),
        "at work": _shown(lambda: shape(state_at_work())),
        "platform": _shown(lambda: shape(node_state())),
        "lateness": _shown(_lag),
    }


GROUPS = {
    "quota": quota_samples,
    "membership": membership_samples,
    "replication": replication_samples,
    "record": record_samples,
    "takeover": takeover_samples,
    "rejected": rejected_samples,
    "sealed": sealed_samples,
    "resp": resp_samples,
    "discovery": discovery_samples,
    "jsonrpc": jsonrpc_samples,
    "authorization": authorization_samples,
    "grpc": grpc_samples,
    "access-log": access_log_samples,
    "http": http_samples,
    "trace": trace_samples,
    "state": state_samples,
}


def recorded(group: str, folder: pathlib.Path = FOLDER) -> dict[str, tuple[bytes, Any]]:
    """Return the recorded bytes and values of each sample of a group."""
    rows = json.loads((folder / f"{group}.json").read_text())
    return {
        name: (bytes.fromhex(row["hex"]) if "hex" in row else row["text"].encode(), row["values"])
        for name, row in rows.items()
    }


def record(group: str, folder: pathlib.Path = FOLDER) -> None:
    """Record a group.

    Raises:
        FileExistsError: The group is recorded; recordings are never replaced.
    """
    rows = []
    for name, sample in GROUPS[group]().items():
        data = sample.write()
        shown = (
            {"text": data.decode()}
            if all(byte in b"\r\n" or 32 <= byte < 127 for byte in data)
            else {"hex": data.hex()}
        )
        rows.append(f"{json.dumps(name)}: {json.dumps(shown | {'values': sample.read(data)})}")
    with open(folder / f"{group}.json", "x") as file:
        file.write("{\n" + ",\n".join(rows) + "\n}\n")


if __name__ == "__main__":
    for each in sys.argv[1:]:
        record(each)
