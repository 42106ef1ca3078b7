"""HTTP/2 and gRPC codecs: against the independent implementation `h2`, and against protocol violations."""

import struct

import h2.config
import h2.connection
import h2.events
import pytest
from hypothesis import given
from hypothesis import strategies as st

from anisefront.protocols import grpc, http2_frames, http2_headers
from anisefront.protocols.http2_connection import Http2Connection
from anisefront.protocols.http2_events import ConnectionTerminated, DataReceived, RequestReceived, StreamReset
from anisefront.protocols.http2_frames import ErrorCode, FrameType
from anisefront.protocols.http2_limits import Http2Limits

HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/a.B/C"),
    (":authority", "x"),
    ("content-type", "application/grpc"),
    ("te", "trailers"),
]


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + bytes((kind, flags)) + struct.pack(">I", stream) + payload


HELLO = http2_frames.PREFACE + frame(FrameType.SETTINGS, 0, 0)


class Pair:
    """Server connection and an `h2` client that exchange bytes in memory."""

    def __init__(self, limits=Http2Limits()):  # noqa: B008
        self.server = Http2Connection(limits)
        self.client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        self.client.initiate_connection()
        self.exchange()

    def exchange(self):
        """Exchange bytes until neither side sends any; return the events of the server and of the client."""
        server_events, client_events = [], []
        while True:
            sent = self.client.data_to_send()
            server_events += self.server.receive(sent)
            received = self.server.data_to_send()
            if received:
                client_events += self.client.receive_data(received)
            if not sent and not received:
                return server_events, client_events

    def send_request(self, stream=1, body=b"", ended=True):
        self.client.send_headers(stream, HEADERS, end_stream=ended and not body)
        if body:
            self.client.send_data(stream, body, end_stream=ended)
        return self.exchange()


def started():
    server = Http2Connection()
    server.receive(HELLO)
    server.data_to_send()
    return server


def receive_headers(server, stream=1, ended=True, flags=http2_frames.END_HEADERS):
    block = http2_headers.literal_block(*HEADERS)
    return server.receive(frame(FrameType.HEADERS, flags | http2_frames.END_STREAM * ended, stream, block))


def terminate(server, data):
    """Return the error code with which these bytes terminate the connection."""
    last = server.receive(data)[-1]
    assert isinstance(last, ConnectionTerminated), last
    assert server.closed and server.receive(HELLO) == []
    assert server.data_to_send()[-200:].find(bytes((FrameType.GOAWAY,))) >= 0
    return last.code


def test_request_and_response_with_trailers_by_an_independent_client():
    pair = Pair()
    server_events, _ = pair.send_request(body=b"hello")
    assert isinstance(server_events[0], RequestReceived) and (b":path", b"/a.B/C") in server_events[0].headers
    assert server_events[1] == DataReceived(1, b"hello", True)
    pair.server.send_headers(1, grpc.RESPONSE_HEADERS)
    pair.server.send_data(1, grpc.encode_message(b"yes"), grpc.OK_TRAILERS)
    _, client_events = pair.exchange()
    kinds = [type(event) for event in client_events]
    assert kinds == [
        h2.events.ResponseReceived,
        h2.events.DataReceived,
        h2.events.TrailersReceived,
        h2.events.StreamEnded,
    ]
    assert (b"grpc-status", b"0") in client_events[2].headers and not pair.server.streams


def test_flow_control_delays_and_resumes_responses():
    pair = Pair()
    pair.send_request()
    pair.server.send_headers(1, grpc.RESPONSE_HEADERS)
    pair.server.send_data(1, b"x" * 200_000, grpc.OK_TRAILERS)
    got = 0
    for _ in range(20):
        _, client_events = pair.exchange()
        for event in client_events:
            if isinstance(event, h2.events.DataReceived):
                assert got + len(event.data) <= 200_000
                got += len(event.data)
                pair.client.acknowledge_received_data(event.flow_controlled_length, 1)
        if any(isinstance(event, h2.events.StreamEnded) for event in client_events):
            break
    assert got == 200_000 and not pair.server.streams


def test_window_is_extended_as_large_uploads_are_read():
    pair = Pair()
    pair.client.send_headers(1, HEADERS)
    pair.exchange()
    sent = 0
    while sent < 3_000_000:
        sendable = min(pair.client.local_flow_control_window(1), 16384)
        assert sendable > 0, sent
        pair.client.send_data(1, b"y" * sendable)
        sent += sendable
        pair.exchange()


def test_smaller_initial_window_applies_to_open_streams():
    pair = Pair()
    pair.send_request()
    pair.client.update_settings({4: 10})
    pair.exchange()
    pair.server.send_headers(1, grpc.RESPONSE_HEADERS)
    pair.server.send_data(1, b"z" * 30)
    _, client_events = pair.exchange()
    assert sum(len(event.data) for event in client_events if isinstance(event, h2.events.DataReceived)) == 10


def test_padding_priority_and_continuation_are_decoded():
    server = started()
    block = http2_headers.literal_block(*HEADERS)
    padded = bytes((3,)) + struct.pack(">IB", 0, 16) + block[:10] + b"\0\0\0"
    flags = http2_frames.PADDED | http2_frames.PRIORITY_FLAG
    events = server.receive(
        frame(FrameType.HEADERS, flags, 1, padded)
        + frame(FrameType.CONTINUATION, 0, 1, block[10:30])
        + frame(FrameType.CONTINUATION, http2_frames.END_HEADERS, 1, block[30:])
        + frame(FrameType.DATA, http2_frames.PADDED | http2_frames.END_STREAM, 1, b"\x02ab\0\0")
    )
    assert isinstance(events[0], RequestReceived) and events[1] == DataReceived(1, b"ab", True)


def test_input_split_into_single_bytes_gives_the_same_events():
    data = (
        HELLO
        + frame(FrameType.HEADERS, http2_frames.END_HEADERS, 1, http2_headers.literal_block(*HEADERS))
        + frame(FrameType.DATA, http2_frames.END_STREAM, 1, b"abc")
    )
    server, events = Http2Connection(), []
    for at in range(len(data)):
        events += server.receive(data[at : at + 1])
    assert events == Http2Connection().receive(data) and len(events) == 2


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\x16\x03\x01 what TLS begins with" + b"\r\n\r\n", ErrorCode.PROTOCOL_ERROR),
        (http2_frames.PREFACE + frame(FrameType.PING, 0, 0, b"12345678"), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.DATA, 0, 1, b"x"), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.HEADERS, http2_frames.END_HEADERS, 2, b""), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.CONTINUATION, 0, 1, b""), ErrorCode.PROTOCOL_ERROR),
        (
            HELLO + frame(FrameType.HEADERS, 0, 1, b"") + frame(FrameType.PING, 0, 0, b"12345678"),
            ErrorCode.PROTOCOL_ERROR,
        ),
        (
            HELLO + frame(FrameType.HEADERS, http2_frames.END_HEADERS, 1, b"\xff\xff\xff\xff\xff\xff\xff"),
            ErrorCode.COMPRESSION_ERROR,
        ),
        (HELLO + frame(FrameType.PING, 0, 0, b"123"), ErrorCode.FRAME_SIZE_ERROR),
        (HELLO + frame(FrameType.PING, 0, 3, b"12345678"), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.SETTINGS, 0, 0, b"12345"), ErrorCode.FRAME_SIZE_ERROR),
        (HELLO + frame(FrameType.SETTINGS, 0, 0, struct.pack(">HL", 4, 2**31)), ErrorCode.FLOW_CONTROL_ERROR),
        (HELLO + frame(FrameType.SETTINGS, 0, 0, struct.pack(">HL", 5, 100)), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.PUSH_PROMISE, 0, 1, b"1234"), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.RST_STREAM, 0, 9, b"1234"), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.WINDOW_UPDATE, 0, 0, struct.pack(">L", 2**31 - 1)), ErrorCode.FLOW_CONTROL_ERROR),
        (HELLO + frame(FrameType.WINDOW_UPDATE, 0, 0, struct.pack(">L", 0)), ErrorCode.PROTOCOL_ERROR),
        (HELLO + frame(FrameType.DATA, 0, 1, b"x" * 20000), ErrorCode.FRAME_SIZE_ERROR),
    ],
)
def test_protocol_violations_end_the_connection_with_the_code_of_the_rfc(data, code):
    assert terminate(Http2Connection(), data) is code


@pytest.mark.parametrize(
    "flood",
    [
        frame(FrameType.PING, 0, 0, b"12345678"),
        frame(FrameType.SETTINGS, 0, 0),
        frame(FrameType.PRIORITY, 0, 7, b"\0\0\0\0\1"),
        frame(FrameType.DATA, 0, 1, b""),
    ],
)
def test_frame_floods_end_the_connection(flood):
    server = started()
    receive_headers(server, ended=False)
    assert terminate(server, flood * 3000) is ErrorCode.ENHANCE_YOUR_CALM


def test_rapid_resets_end_the_connection():
    server, block = started(), http2_headers.literal_block(*HEADERS)
    data = b"".join(
        frame(FrameType.HEADERS, 5, n, block) + frame(FrameType.RST_STREAM, 0, n, struct.pack(">L", 8))
        for n in range(1, 6001, 2)
    )
    assert terminate(server, data) is ErrorCode.ENHANCE_YOUR_CALM


def test_endless_continuation_ends_the_connection():
    data = frame(FrameType.HEADERS, 0, 1, b"") + frame(FrameType.CONTINUATION, 0, 1, b"") * 20
    assert terminate(started(), data) is ErrorCode.ENHANCE_YOUR_CALM
    large = frame(FrameType.HEADERS, 0, 1, b"\0" * 16000) + frame(FrameType.CONTINUATION, 0, 1, b"\0" * 16000)
    assert terminate(started(), large) is ErrorCode.ENHANCE_YOUR_CALM


def test_frame_allowance_is_refilled_over_time():
    server = started()
    for second in range(40):
        server.receive(frame(FrameType.PING, 0, 0, b"12345678") * 90, second * 1000.0)
    assert not server.closed
    assert server.data_to_send().count(frame(FrameType.PING, http2_frames.ACK, 0, b"12345678")) == 3600


def test_streams_above_the_limit_are_refused():
    server = Http2Connection(Http2Limits(max_streams=2))
    server.receive(HELLO)
    for number in (1, 3, 5):
        receive_headers(server, number, ended=False)
    out = server.data_to_send()
    assert frame(FrameType.RST_STREAM, 0, 5, struct.pack(">L", ErrorCode.REFUSED_STREAM)) in out
    assert set(server.streams) == {1, 3} and not server.closed


def test_malformed_headers_reset_only_their_stream():
    server = started()
    for number, extra in enumerate([("Upper", "x"), ("connection", "close"), (":late", "x"), ("x", "a\r\nb")]):
        block = http2_headers.literal_block(*HEADERS, extra)
        assert server.receive(frame(FrameType.HEADERS, 5, 2 * number + 1, block)) == []
    assert not server.closed and isinstance(receive_headers(server, 99)[0], RequestReceived)


def test_stream_is_reset_if_its_client_does_not_read():
    pair = Pair(Http2Limits(max_queued_bytes=100_000))
    pair.send_request()
    pair.server.send_headers(1, grpc.RESPONSE_HEADERS)
    pair.server.send_data(1, b"x" * 300_000)
    assert 1 not in pair.server.streams


def test_reset_by_the_client_is_reported_and_late_frames_are_ignored():
    server = started()
    receive_headers(server, ended=False)
    assert server.receive(frame(FrameType.RST_STREAM, 0, 1, struct.pack(">L", 8))) == [StreamReset(1, 8)]
    assert server.receive(frame(FrameType.DATA, 0, 1, b"x") + frame(FrameType.WINDOW_UPDATE, 0, 1, b"\0\0\0\1")) == []
    assert not server.closed


@given(st.binary(max_size=400))
def test_garbage_never_raises(data):
    Http2Connection().receive(data)
    server = started()
    server.receive(data)
    server.data_to_send()


@given(st.lists(st.binary(max_size=50), max_size=8), st.integers(1, 7))
def test_messages_are_decoded_however_they_are_split(messages, step):
    data, decoder, decoded = b"".join(map(grpc.encode_message, messages)), grpc.MessageDecoder(100), []
    for at in range(0, len(data), step):
        decoded += decoder.feed(data[at : at + step])
    assert decoded == messages and not decoder.has_partial_message


@pytest.mark.parametrize(("text", "ms"), [(b"5S", 5000), (b"100m", 100), (b"1H", 3.6e6), (b"7u", 0.007), (b"", None)])
def test_timeouts(text, ms):
    assert grpc.decode_timeout_ms(text) == ms


@pytest.mark.parametrize("text", [b"5", b"S", b"123456789S", b"-1S", b"1x", b"\xff"])
def test_invalid_timeouts_are_rejected(text):
    with pytest.raises(grpc.GrpcStatusError):
        grpc.decode_timeout_ms(text)


def test_upgrade_from_http1_by_an_independent_client():
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    settings = client.initiate_upgrade_connection()
    server = Http2Connection()
    request = (
        b"POST /a.B/C HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        b"HTTP2-Settings: " + settings + b"\r\nContent-Type: application/grpc\r\nContent-Length: 5\r\n\r\nhello"
    )
    events = server.receive(request[:50])
    assert events == []
    events = server.receive(request[50:] + client.data_to_send())
    assert events[0].stream_id == 1 and (b":path", b"/a.B/C") in events[0].headers
    assert events[1] == DataReceived(1, b"hello", True)
    server.send_headers(1, grpc.RESPONSE_HEADERS)
    server.send_data(1, grpc.encode_message(b"yes"), grpc.OK_TRAILERS)
    head, _, rest = server.data_to_send().partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 101 ")
    kinds = [type(event) for event in client.receive_data(rest)]
    assert kinds[-3:] == [h2.events.DataReceived, h2.events.TrailersReceived, h2.events.StreamEnded]


def test_http1_without_upgrade_is_answered_with_426():
    server = Http2Connection()
    assert isinstance(server.receive(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")[0], ConnectionTerminated)
    assert server.data_to_send().startswith(b"HTTP/1.1 426 ")


def test_resets_of_thousands_of_long_open_streams_keep_the_connection():
    server, block = started(), http2_headers.literal_block(*HEADERS)
    for number in range(1, 8001, 2):
        server.receive(frame(FrameType.HEADERS, 5, number, block), 1000.0)
    resets = b"".join(frame(FrameType.RST_STREAM, 0, number, struct.pack(">L", 8)) for number in range(1, 8001, 2))
    assert len(server.receive(resets, 3000.0)) == 4000 and not server.closed
