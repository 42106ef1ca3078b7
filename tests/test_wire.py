"""HTTP/1.1, JSON-RPC and load report codecs: complete, split and invalid input."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from anisefront.protocols import http1, jsonrpc, orca
from anisefront.protocols.http1 import Head, MessageError, MessageReader


def messages(reader, data):
    return [event for event in reader.feed(data) if not isinstance(event, Head)]


def test_request_and_response_round_trip():
    data = http1.encode_request("POST", "/a?b=c", {"host": "x", "x-units": "2"}, b"body")
    (message,) = messages(MessageReader(True), data)
    assert (message.method, message.target, message.body, message.keep_alive) == ("POST", "/a?b=c", b"body", True)
    assert message.headers["x-units"] == "2"
    (message,) = messages(MessageReader(False), http1.encode_response(503, {"connection": "close"}, b"no"))
    assert (message.status, message.body, message.keep_alive) == (503, b"no", False)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nWiki\r\n5\r\npedia\r\n0\r\nTrailer: t\r\n\r\n"


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_chunked_body_is_decoded_however_it_is_split(step):
    reader, received = MessageReader(False), []
    for at in range(0, len(CHUNKED), step):
        received += messages(reader, CHUNKED[at : at + step])
    assert received[0].body == b"Wikipedia" and received[0].keep_alive and not reader.has_partial_message


def test_bodies_until_close_head_responses_and_interim_responses():
    reader = MessageReader(False)
    assert not messages(reader, b"HTTP/1.0 200 OK\r\n\r\npart") and reader.close()[0].body == b"part"
    reader = MessageReader(False)
    reader.head_only = True
    assert messages(reader, b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n")[0].body == b""
    responses = messages(MessageReader(False), b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
    assert [message.status for message in responses] == [100, 204]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 400),
        (b"G T / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nname\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nna me: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n folded: x\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 20000, 431),
    ],
)
def test_invalid_requests_are_rejected_with_a_status(data, status):
    with pytest.raises(MessageError) as caught:
        MessageReader(True).feed(data)
    assert caught.value.status == status


def test_connection_closed_within_a_message_is_an_error():
    reader = MessageReader(False)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
    with pytest.raises(MessageError):
        reader.close()


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_an_error_or_incomplete(data):
    for requests in (True, False):
        try:
            MessageReader(requests).feed(data)
        except MessageError:
            pass


@pytest.mark.parametrize("headers", [{"a": "x\r\ny"}, {"a b": "x"}, {"": "x"}])
def test_invalid_headers_are_not_encoded(headers):
    with pytest.raises(ValueError):
        http1.encode_request("GET", "/", headers)


# Examples of the JSON-RPC 2.0 specification, section 7, that do not depend on methods.
@pytest.mark.parametrize(
    ("line", "code"),
    [
        (b'{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]', -32700),
        (b'{"jsonrpc": "2.0", "method": 1, "params": "bar"}', -32600),
        (b"[]", -32600),
        (b"1", -32600),
        (b'[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"},{"jsonrpc": "2.0", "method"', -32700),
        (b'{"jsonrpc": "2.0", "method": "a", "params": 1, "id": 1}', -32600),
        (b"[" * 100_000, -32700),
    ],
)
def test_jsonrpc_error_codes(line, code):
    is_batch, calls = jsonrpc.parse_line(line)
    assert not is_batch and [call.code for call in calls] == [code]


def test_jsonrpc_batches_and_notifications():
    is_batch, calls = jsonrpc.parse_line(b'[1,{"jsonrpc":"2.0","method":"a"},{"jsonrpc":"2.0","method":"b","id":null}]')
    assert is_batch and isinstance(calls[0], jsonrpc.InvalidCall)
    assert calls[1].is_notification and not calls[2].is_notification
    assert jsonrpc.parse_line(json.dumps([1] * 300).encode())[1][0].code == -32600


def test_line_splitter():
    splitter = jsonrpc.LineSplitter(10)
    assert splitter.feed(b"ab\n\ncd") == [b"ab"] and splitter.feed(b"e\n") == [b"cde"]
    with pytest.raises(jsonrpc.LineTooLongError):
        splitter.feed(b"x" * 11)


def test_load_reports_in_the_three_published_forms():
    report = OrcaLoadReport(cpu_utilization=0.5, named_metrics={"inflight": 3})
    binary = base64.b64encode(report.SerializeToString()).decode()
    for headers in (
        {"endpoint-load-metrics": "TEXT cpu_utilization=0.5, named_metrics.inflight=3"},
        {"endpoint-load-metrics": 'JSON {"cpu_utilization": 0.5, "named_metrics": {"inflight": 3}}'},
        {"endpoint-load-metrics": "BIN " + binary},
        {"endpoint-load-metrics-bin": binary},
    ):
        assert orca.select_fields(orca.decode_report(headers), ("util", "inflight")) == (0.5, 3.0)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "TEXT",
        "TEXT a",
        "TEXT a=b",
        "JSON {",
        "JSON 3",
        "BIN ###",
        "BIN /////w==",
        "XML <a/>",
        "TEXT cpu_utilization=nan",
    ],
)
def test_invalid_load_reports_are_ignored(text):
    assert orca.select_fields(orca.decode_report({"endpoint-load-metrics": text}), ("util",)) == ()
