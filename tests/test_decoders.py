"""Every decoder of untrusted input returns a value or raises one of its declared errors.

Inputs are mutations of valid ones: a value of their JSON replaced by an unusual one, or bytes replaced or removed.
A new decoder must be entered in `DECODERS` or `OTHERS`, or a test fails.
"""

import ast
import json
import pathlib
import re
import struct
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_identity_locks import MESSAGES as LOCK_MESSAGES
from test_node_wire import ASK, WIRE_SETTINGS, config_document
from test_rules import settings as platform_settings
from test_wire_bytes import RECORDED
from wire_samples import jsonrpc_response

from anisefront.cluster import endpoint_file, lock_codec, member_state, membership_messages, replication_codec
from anisefront.cluster.replication_messages import AppendAck, RelayedMessage
from anisefront.daemon import request_records
from anisefront.daemon.message_relay import MessageRelay
from anisefront.frontends import jsonrpc_params
from anisefront.frontends.errors import InvalidParamsError
from anisefront.policy import peer_codec, settings_document
from anisefront.protocols import grpc, http1, http2_settings, http2_start, jsonrpc, orca, trace
from anisefront.protocols.errors import ProtocolError
from anisefront.protocols.http1 import MessageError
from anisefront.protocols.http2_headers import HeaderDecoder
from anisefront.protocols.http2_limits import Http2Limits
from anisefront.resp_gateway import command_mapping, endpoint_changes, instance_config, resp_codec, watch_codec
from anisefront.resp_gateway.errors import DiscoveryError, InstanceConfigError, InvalidCommandError, RespProtocolError
from anisefront.upstream.delegated_index import DelegatedIndex
from anisefront.upstream.http_responses import HttpResponseReader
from anisefront.upstream.inherited_requests import InheritedRequests

PACKAGE = pathlib.Path(endpoint_file.__file__).parents[1]
EXAMPLES = 150  # mutated inputs of each decoder
HUGE = 10**400
UNUSUAL_VALUES = [
    None,
    True,
    -1,
    0,
    HUGE,
    -HUGE,
    1e308,
    float("inf"),
    "",
    "\ud800",
    "²",
    "9" * 5000,
    [],
    {},
    [[]],
    {"": {}},
]
PACKAGES = ("cluster", "daemon", "frontends", "policy", "protocols", "resp_gateway", "upstream")
NAME = re.compile(r"(decode|parse|feed|unpack|find_attempt|load_report_values|read_settings|read_config)(_\w+)?")

LISTED = {
    "index": 7,
    "snapshot": True,
    "endpoints": [
        {
            "name": "w1",
            "address": "10.0.0.1:80",
            "status": "active",
            "zone": "a",
            "group": 1,
            "weight": 2.0,
            "since_ms": 5,
        }
    ],
}
ENDPOINTS = {
    "cluster_name": "main",
    "endpoints": [
        {
            "locality": {"zone": "a", "sub_zone": "b"},
            "lb_endpoints": [
                {
                    "health_status": "HEALTHY",
                    "load_balancing_weight": 3,
                    "endpoint": {"address": {"socket_address": {"address": "10.0.0.1", "port_value": 80}}},
                    "metadata": {"filter_metadata": {"anisefront": {"started": 1.0}}},
                }
            ],
        }
    ],
}
CALL = {"method": "GET", "path": "/a", "headers": {"x": "y"}, "body": "z", "body_base64": ""}
LINE = {"jsonrpc": "2.0", "method": "call", "params": CALL, "id": 1}
RECORD = [1, "own", "i", "c", "order", "p", 1.0, 0, 1, {"method": "GET", "target": "/", "headers": {}, "body": ""}]
RESPONSE = [[200, {"a": "b"}, "eA=="], "w", 1, False, 0.0, ""]
HTTP_REQUEST = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\nx-a: b\r\n\r\nhi"
HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
WATCH = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
    len(json.dumps(LISTED)) + 1,
    json.dumps(LISTED).encode() + b"\n",
)


def _load(data: bytes) -> Any:
    """Return the JSON value of the bytes, None if they are not JSON."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None


def _text(data: bytes) -> str:
    return data.decode("latin-1")


def _decode_request_record(data: bytes) -> object:
    record = request_records.decode_record(data, {"order": None})
    return record and (record.direct_request(), record.delegating_incarnation())


def _relay(data: bytes) -> object:
    membership = SimpleNamespace(rows={0: SimpleNamespace(process_incarnation=1)})
    return MessageRelay(lambda *sent: None, membership).unpack(RelayedMessage(0, 1, data))


def _lock_message(data: bytes) -> object:
    try:
        return lock_codec.decode_body(data[1] if len(data) > 1 else 0, data[2:])
    except struct.error as error:  # `replication_codec.decode` handles it in the same way
        raise ValueError(str(error)) from error


def _params(data: bytes) -> object:
    return jsonrpc_params.parse_params(_load(data))


def _line(data: bytes) -> object:
    """Return the response to a line, which repeats the id of its call."""
    return jsonrpc_response(data.replace(b"\n", b" ") + b"\n")


def _inherited(data: bytes) -> object:
    inherited = InheritedRequests.__new__(InheritedRequests)
    inherited._by_origin = {("life", 1): object()}
    return inherited.find_attempt(_text(data))


def _config(data: bytes) -> object:
    document = _load(data)
    return instance_config.parse_config(document if isinstance(document, dict) else {}, {})


def _command(data: bytes) -> object:
    return [
        command_mapping.CommandMapper(platform_settings()).to_request(each)
        for each in resp_codec.CommandReader().feed(data)
    ]


def _http2_settings_header(data: bytes) -> object:
    headers = {"http2-settings": _text(data)}
    return http2_start.decode_settings_header(http1.Message("GET", "/", 0, headers, b"", True))


class Decoder(NamedTuple):
    """A decoder as a function of bytes, valid inputs, and the errors that it may raise."""

    read: Callable[[bytes], object]
    samples: list[bytes]
    errors: tuple[type[Exception], ...] = ()


def _recorded(group: str, start: str = "") -> list[bytes]:
    return [data for name, (data, _) in RECORDED[group].items() if name.startswith(start) and data]


def _json(*values: object) -> list[bytes]:
    return [json.dumps(value).encode() for value in values]


DECODERS: dict[str, Decoder] = {
    "cluster.endpoint_file.parse": Decoder(endpoint_file.parse, _json(ENDPOINTS), (endpoint_file.EndpointFileError,)),
    "cluster.lock_codec.decode_body": Decoder(
        _lock_message, list(map(replication_codec.encode, LOCK_MESSAGES)), (ValueError,)
    ),
    "cluster.member_state.decode_rows": Decoder(member_state.decode_rows, _recorded("membership")),
    "cluster.membership_messages.decode_message": Decoder(membership_messages.decode_message, _recorded("membership")),
    "cluster.replication_codec.decode": Decoder(replication_codec.decode, _recorded("replication", "message")),
    "daemon.message_relay.MessageRelay.unpack": Decoder(_relay, [replication_codec.encode(AppendAck(1, 2))]),
    "daemon.request_records.decode_record": Decoder(_decode_request_record, _json(RECORD)),
    "daemon.request_records.decode_response": Decoder(request_records.decode_response, _json(RESPONSE)),
    "frontends.jsonrpc_params.parse_params": Decoder(_params, _json(CALL), (InvalidParamsError,)),
    "policy.peer_codec.decode": Decoder(peer_codec.decode, _recorded("quota")),
    "policy.settings_document.read_settings": Decoder(
        lambda data: settings_document.read_settings(_load(data)), _json(WIRE_SETTINGS), (ValueError,)
    ),
    "protocols.grpc.MessageDecoder.feed": Decoder(
        grpc.MessageDecoder(1000).feed, [grpc.encode_message(b"hi")], (ProtocolError,)
    ),
    "protocols.grpc.decode_timeout_ms": Decoder(grpc.decode_timeout_ms, [b"10m", b"1H"], (ProtocolError,)),
    "protocols.http1.MessageReader.feed": Decoder(
        lambda data: http1.MessageReader(requests=True).feed(data), [HTTP_REQUEST], (MessageError,)
    ),
    "protocols.http2_headers.HeaderDecoder.decode": Decoder(
        lambda data: HeaderDecoder(Http2Limits()).decode(data), [b"\x82\x86\x84\x41\x01h"], (ProtocolError,)
    ),
    "protocols.http2_settings.decode_settings": Decoder(
        http2_settings.decode_settings, [b"\x00\x03\x00\x00\x00\x64"], (ProtocolError,)
    ),
    "protocols.http2_start.decode_settings_header": Decoder(
        _http2_settings_header, [b"AAMAAABk"], (ProtocolError, ValueError)
    ),
    "protocols.jsonrpc.LineSplitter.feed": Decoder(
        lambda data: jsonrpc.LineSplitter(100).feed(data), [b"{}\n"], (jsonrpc.LineTooLongError,)
    ),
    "protocols.jsonrpc.parse_line": Decoder(_line, _json(LINE, [LINE, LINE])),
    "protocols.orca.decode_report": Decoder(
        lambda data: orca.decode_report({orca.HEADER: _text(data)}),
        [
            b'JSON {"eps": 1, "named_metrics": {"a": 2}}',
            b"TEXT eps=1,a.b=2",
            b"BIN CgA=",
            b'JSON {"eps": 1' + b"0" * 400 + b"}",
        ],
    ),
    "protocols.trace.decode_file": Decoder(trace.decode_file, _recorded("trace", "file")),
    "resp_gateway.command_mapping.load_report_values": Decoder(
        lambda data: command_mapping.load_report_values(data, ("util",)), [b"util=1,inflight=2"]
    ),
    "resp_gateway.endpoint_changes.parse_address": Decoder(
        lambda data: endpoint_changes.parse_address(_text(data)), [b"10.0.0.1:80", b"h:\xb2"]
    ),
    "resp_gateway.endpoint_changes.parse_change": Decoder(
        lambda data: endpoint_changes.parse_change(_load(data)), _json(LISTED), (DiscoveryError,)
    ),
    "resp_gateway.instance_config.parse_config": Decoder(
        _config,
        _json(config_document()),
        (InstanceConfigError,),
    ),
    "resp_gateway.resp_codec.CommandReader.feed": Decoder(
        _command, [resp_codec.encode_command(ASK)], (InvalidCommandError, RespProtocolError)
    ),
    "resp_gateway.resp_codec.WorkerReplyReader.feed": Decoder(
        lambda data: resp_codec.WorkerReplyReader().feed(data),
        [b"+OK util=1\r\n", b"$2\r\nhi\r\n"],
        (RespProtocolError,),
    ),
    "resp_gateway.watch_codec.WatchReader.feed": Decoder(
        lambda data: watch_codec.WatchReader().feed(data), [WATCH], (DiscoveryError,)
    ),
    "upstream.delegated_index.DelegatedIndex.find_attempt": Decoder(
        lambda data: DelegatedIndex("life").find_attempt(_text(data)),
        [b"life.1.2", b"life.1.\xb2", b"life.%s.1" % (b"9" * 5000)],
    ),
    "upstream.http_responses.HttpResponseReader.feed": Decoder(
        lambda data: HttpResponseReader(1000).feed(data), [HTTP_RESPONSE], (MessageError,)
    ),
    "upstream.inherited_requests.InheritedRequests.find_attempt": Decoder(_inherited, [b"life.1.2", b"life.1.\xb2"]),
}
# Functions with such names that decode no untrusted input, or that another entry covers.
OTHERS = {
    "daemon.authenticated_datagrams.AuthenticatedDatagrams.decode",  # the samples "sealed: ..." of test_wire_bytes.py
    "daemon.peer_port.DatagramFormat.decode",  # an interface
    "resp_gateway.unauthenticated_datagrams.UnauthenticatedDatagrams.decode",  # returns the bytes unchanged
    "resp_gateway.instance_config.read_config_file",  # the operator's file, read at the start
    "resp_gateway.resp_requests.WorkerConnectionCodec.feed",  # covered by WorkerReplyReader.feed
    "upstream.delegated_checks.parse_number",  # covered by find_attempt
    "upstream.response_reader.ResponseReader.feed",  # an interface
}


def _names() -> set[str]:
    """Return the functions and methods whose names match `NAME`."""
    names = set()
    for package in PACKAGES:
        for path in sorted((PACKAGE / package).rglob("*.py")):
            module = ".".join(path.relative_to(PACKAGE).with_suffix("").parts)
            for node in ast.parse(path.read_text()).body:
                inner = node.body if isinstance(node, ast.ClassDef) else [node]
                prefix = f"{module}.{node.name}." if isinstance(node, ast.ClassDef) else f"{module}."
                names |= {
                    prefix + each.name
                    for each in inner
                    if isinstance(each, ast.FunctionDef) and NAME.fullmatch(each.name)
                }
    return names


def test_each_decoder_is_entered():
    assert _names() == set(DECODERS) | OTHERS


def _paths(value: Any, path: tuple = ()) -> list[tuple]:
    found = [path]
    if isinstance(value, dict | list):
        for key in value if isinstance(value, dict) else range(len(value)):
            found += _paths(value[key], (*path, key))
    return found


def _replaced(value: Any, path: tuple, replacement: Any) -> Any:
    if not path:
        return replacement
    copy = value.copy()
    copy[path[0]] = _replaced(value[path[0]], path[1:], replacement)
    return copy


def _variants(value: Any) -> list[bytes]:
    """Return the value with each part replaced by each unusual value, and with an invalid key in each object."""
    variants = [_replaced(value, path, unusual) for path in _paths(value) for unusual in UNUSUAL_VALUES]
    for path in _paths(value):
        part = value
        for key in path:
            part = part[key]
        if isinstance(part, dict):
            variants.append(_replaced(value, path, part | {"\ud800": 1}))
    return [json.dumps(each).encode() for each in variants]


@st.composite
def mutated(draw: Callable, samples: list[bytes]) -> bytes:
    """Draw a valid input with some bytes replaced, inserted or removed."""
    data = draw(st.sampled_from(samples))
    at = draw(st.integers(0, len(data)))
    cut = draw(st.integers(at, min(len(data), at + 8)))
    return data[:at] + draw(st.binary(max_size=6) | st.sampled_from([b"9" * 5000, b"\xff", b"\0", data])) + data[cut:]


@pytest.mark.parametrize("name", DECODERS)
def test_decoder_returns_or_raises_a_declared_error(name):
    decoder = DECODERS[name]
    tables = [value for value in map(_load, decoder.samples) if isinstance(value, dict | list)]
    for data in (variant for table in tables for variant in _variants(table)):
        try:
            decoder.read(data)
        except decoder.errors:
            pass

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @given(mutated(decoder.samples))
    def check(data):
        try:
            decoder.read(data)
        except decoder.errors:
            pass

    check()
