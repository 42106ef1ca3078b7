"""RESP codec, command mapping, discovery codec and instance configuration, without I/O: split and malformed input."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_rules import settings

from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.errors import RespProtocolError
from anisefront.resp_gateway.resp_requests import ReplyOutcome, WorkerConnectionCodec, classify_reply, encode_rejection
from anisefront.resp_gateway.errors import InstanceConfigError
from anisefront.resp_gateway.instance_config import parse_config
from anisefront.resp_gateway.endpoint_changes import AppliedChange, EndpointDirectory, parse_change
from anisefront.resp_gateway.errors import DiscoveryError
from anisefront.resp_gateway.watch_codec import WatchReader
from anisefront.resp_gateway.command_mapping import CommandMapper, load_report_values
from anisefront.resp_gateway.errors import InvalidCommandError
from anisefront.policy.events import AttemptResult, EndpointStatus

ASK = [b"Q.ASK", b"00000000b4d65521", b"9b1f03aa5c7e2d41", b"c=look,t=rated,d=480,units=2,spread=3,first=1"]
DO = [b"Q.DO", b"00000000b4d65521", b"9b1f03aa5c7e2d42", b"c=book,t=rated,d=480,k=5c0f6e1a2b3d4c59", b"\r\n$1 \0 body"]


# ---- commands ------------------------------------------------------------------------------------


def test_commands_split_at_any_byte_are_parsed():
    data = resp_codec.encode_command(ASK) + resp_codec.encode_command(DO) + resp_codec.encode_command([b"PING"])
    for cut in range(len(data)):
        reader = resp_codec.CommandReader()
        assert reader.feed(data[:cut]) + reader.feed(data[cut:]) == [ASK, DO, [b"PING"]]
        assert not reader.has_partial and reader.error is None
    reader = resp_codec.CommandReader()
    assert [each for byte in data for each in reader.feed(bytes([byte]))] == [ASK, DO, [b"PING"]]


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01",
        b"*0\r\n",
        b"*-1\r\n",
        b"*9\r\n",
        b"*99999999999\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$-5\r\n",
        b"*1\r\n$62914560\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n*1\r\n",
        b"*1\r\n$4\r\nPINGPING\r\n",
        b"*1\r\n$ 4\r\n",
        b"*1\r\n$+4\r\n",
        b"*x\r\n",
        b"*" + b"1" * 40,
        b"$4\r\nPING\r\n",
        b"*1\r\n$" + b"0" * 40,
    ],
)
def test_invalid_commands_are_protocol_errors_when_they_are_read(data):
    reader = resp_codec.CommandReader()
    assert reader.feed(resp_codec.encode_command([b"PING"]) + data) == [[b"PING"]]
    assert reader.error is not None and reader.error.error_line.startswith(b"ERR Protocol error")
    assert not reader.feed(resp_codec.encode_command([b"PING"])) and not reader.has_partial


def test_command_discarded_at_any_byte_is_skipped_and_the_next_one_is_parsed():
    """Guards against a parser that loses its place in the stream after it has freed an incomplete command."""
    first = resp_codec.encode_command(DO)
    data = first + resp_codec.encode_command([b"PING"])
    for cut in range(len(first)):
        for step in (1, 7, len(data)):
            reader = resp_codec.CommandReader()
            assert not reader.feed(data[:cut])
            reader.discard_command()
            assert reader.incomplete_bytes <= len(b"$\r") + resp_codec.MAX_LENGTH_LINE_BYTES
            found = [each for at in range(cut, len(data), step) for each in reader.feed(data[at : at + step])]
            has_started = cut >= len(b"*5\r\n")  # before that, nothing is held that could be discarded
            assert found == [resp_codec.DISCARDED if has_started else DO, [b"PING"]]
            assert not reader.has_partial and reader.error is None


def test_discarded_command_with_a_wrong_length_is_a_protocol_error():
    """Guards against a skipped value whose end is not checked: what follows would be parsed as a command."""
    reader = resp_codec.CommandReader()
    reader.feed(b"*2\r\n$4\r\nPI")
    reader.discard_command()
    assert not reader.feed(b"NGPING") and reader.error is not None


def test_announced_length_allocates_no_memory():
    reader = resp_codec.CommandReader()
    reader.feed(b"*4\r\n$65536\r\n")
    assert reader.error is None and reader.has_partial and len(reader._buffer) == 0


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_a_protocol_error_or_incomplete(data):
    reader = resp_codec.CommandReader()
    reader.feed(b"*2\r\n" + data)
    replies = resp_codec.WorkerReplyReader()
    try:
        replies.feed(data)
    except RespProtocolError as caught:
        assert b"\r" not in caught.error_line and b"\n" not in caught.error_line


@given(st.lists(st.lists(st.binary(max_size=30), min_size=1, max_size=5), max_size=5), st.integers(1, 40))
def test_encoded_commands_are_parsed_however_they_are_split(commands, step):
    data = b"".join(map(resp_codec.encode_command, commands))
    reader = resp_codec.CommandReader()
    assert [each for at in range(0, len(data), step) for each in reader.feed(data[at : at + step])] == commands


# ---- worker replies ------------------------------------------------------------------------------

SERVED_REPLY = b"*3\r\n$5\r\nva\r\nl\r\n$-1\r\n$22\r\ninflight=7,util=0.61,x\r\n"


def test_worker_replies_split_at_any_byte_are_parsed():
    for cut in range(len(SERVED_REPLY)):
        reader = resp_codec.WorkerReplyReader()
        incomplete = reader.feed(SERVED_REPLY[:cut])
        assert incomplete is None
        reply = reader.feed(SERVED_REPLY[cut:])
        assert (
            reply == resp_codec.WorkerReply(b"va\r\nl", b"", b"", b"inflight=7,util=0.61,x") and not reader.has_partial
        )


@pytest.mark.parametrize(
    ("data", "result", "report"),
    [
        (b"-BUSY\r\n", AttemptResult.OVERLOADED, b""),
        (b"-BUSY inflight=7\r\n", AttemptResult.OVERLOADED, b"inflight=7"),
        (b"-ERR failed\r\n", AttemptResult.ERROR, b""),
        (b"-ERR failed util=1\r\n", AttemptResult.ERROR, b"util=1"),
        (b"-SYNTAX\r\n", None, b""),
        (b"-BUSYBODY\r\n", None, b""),
        (b"-ERR\r\n", None, b""),
    ],
)
def test_error_replies_are_classified(data, result, report):
    reply, reusable = WorkerConnectionCodec().feed(data)
    assert classify_reply(reply) == ReplyOutcome(result, report)
    assert reusable is (result is not None)


@pytest.mark.parametrize(
    "data",
    [
        b"$5\r\nhello\r\n",
        b"+OK\r\n",
        b":1\r\n",
        b"*2\r\n",
        b"*-1\r\n",
        b"*3\r\n$-1\r\n",
        b"*3\r\n$3000000000\r\n",
        b"noise",
        b"*3\r\n$2\r\nlong\r\n",
        b"*3\r\n*1\r\n",
        b"-" + b"x" * 600,
        b"*3\r\n$1\r\nv\r\n*1\r\n",
        b"HTTP/1.1 200 OK\r\n",
    ],
)
def test_malformed_worker_replies_are_protocol_errors(data):
    with pytest.raises(RespProtocolError):
        resp_codec.WorkerReplyReader().feed(data)


def test_bytes_after_a_reply_make_its_connection_unusable():
    codec = WorkerConnectionCodec()
    assert codec.feed(SERVED_REPLY)[1]
    reply, reusable = codec.feed(SERVED_REPLY + b"x")
    assert reply.payload == b"va\r\nl" and not reusable


def test_load_reports_are_read_by_name_and_invalid_ones_are_ignored():
    assert load_report_values(b"inflight=7,queue=2,util=0.61", ("util", "inflight")) == (0.61, 7.0)
    for report in (
        b"",
        b"inflight=7",
        b"util=nan,inflight=1",
        b"util=x,inflight=1",
        b"\xff",
        b"util=-1,inflight=0",
        b"util=inf,inflight=1",
        b"util=1,inflight=1," + b"a=1," * 200,
    ):
        assert load_report_values(report, ("util", "inflight")) == ()


def test_rejections_have_a_retry_delay():
    assert (
        encode_rejection(0.0) == b"-BUSY\r\n"
        and encode_rejection(249.6) == b"-BUSY 250\r\n"
        and encode_rejection(0.2) == b"-BUSY 1\r\n"
    )


# ---- terms ---------------------------------------------------------------------------------------


def test_command_is_mapped_and_forwarded_with_the_remaining_timeout():
    request = CommandMapper(settings()).to_request(ASK)
    assert (request.customer, request.class_name, request.plan_name) == ("00000000b4d65521", "look", "rated")
    assert (request.timeout_ms, request.units, request.spread, request.first_gateway) == (480.0, 2.0, 3, 1)
    reader = resp_codec.CommandReader()
    assert reader.feed(request.worker_command(77.9)) == [[*ASK[:3], ASK[3].replace(b"d=480", b"d=77")]]
    assert reader.feed(CommandMapper(settings()).to_request(DO).worker_command(0.2)) == [
        [*DO[:3], DO[3].replace(b"d=480", b"d=1"), DO[4]]
    ]


def test_timeout_is_replaced_at_any_position_of_the_terms():
    for terms in (b"d=9,c=look,t=rated", b"c=look,t=rated,d=9", b"c=look,d=9,t=rated,units=1"):
        request = CommandMapper(settings()).to_request([*ASK[:3], terms])
        assert request.terms_before_timeout + b"9" + request.terms_after_timeout == terms


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b"c=look", b"c=nothing"),
        (b"c=look", b"c=book"),
        (b"c=look,", b""),
        (b"t=rated", b"t=gold"),
        (b"d=480", b"d=soon"),
        (b"d=480", b"d=0"),
        (b"d=480", b"d=-1"),
        (b"d=480", b"d=1e3"),
        (b"d=480", b"d=nan"),
        (b"d=480", b"d=99999999"),
        (b"units=2", b"units=0"),
        (b"units=2", b"units=5"),
        (b"units=2", b"units=inf"),
        (b"units=2", b"units=x"),
        (b"spread=3", b"spread=0"),
        (b"spread=3", b"spread=4"),
        (b"spread=3", b"spread=1.5"),
        (b"first=1", b"first=3"),
        (b"first=1", b"first=-1"),
        (b"first=1", b"first=1,first=1"),
        (b"first=1", b"colour=1"),
        (b"first=1", b"first"),
        (b"first=1", b"r=2"),
        (b"first=1", b"first=\xff"),
    ],
)
def test_invalid_terms_are_rejected(old, new):
    with pytest.raises(InvalidCommandError):
        CommandMapper(settings()).to_request([*ASK[:3], ASK[3].replace(old, new)])


@pytest.mark.parametrize(
    "parts",
    [
        ASK[:3],
        [*ASK, b"", b""],
        [ASK[0], b"0000000200000000", *ASK[2:]],
        [ASK[0], b"b4d65521", *ASK[2:]],
        [*ASK[:2], b"", ASK[3]],
        [*ASK[:2], b"9b1f03aa5c7e2d4", ASK[3]],
        [b"Q.ASK", *DO[1:]],
        [*DO[:3], DO[3].replace(b",k=5c0f6e1a2b3d4c59", b""), DO[4]],
        [*DO[:3], DO[3].replace(b"k=5", b"k= "), DO[4]],
    ],
)
def test_invalid_commands_are_rejected(parts):
    with pytest.raises(InvalidCommandError):
        CommandMapper(settings()).to_request(parts)


# ---- discovery and configuration -----------------------------------------------------------------


def endpoint_row(name, address="127.0.0.1:7000", status="active", since=0):
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "m2",
        "group": 3,
        "status": status,
        "weight": 1.0,
        "since_ms": since,
    }


def change_document(index, *rows, snapshot=False):
    return {"index": index, "snapshot": snapshot, "endpoints": list(rows)}


def chunked_response(*lines):
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%b\r\n" % (len(line), line) for line in lines
    )


def test_watch_response_is_parsed_however_it_is_split():
    first = json.dumps(change_document(43, endpoint_row("s1"), endpoint_row("s2"), snapshot=True)).encode()
    second = json.dumps(change_document(44, endpoint_row("s2", status="left"))).encode()
    data = chunked_response(first[:20], first[20:] + b"\n\n", b"\n", second + b"\n")
    for step in (1, 7, len(data)):
        reader = WatchReader()
        changes = [each for at in range(0, len(data), step) for each in reader.feed(data[at : at + step])]
        assert [each.version for each in changes] == [43, 44] and changes[0].snapshot
        assert changes[1].entries[0].endpoint.status is EndpointStatus.REMOVED


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 No\r\n\r\n",
        b"nonsense\r\n\r\n",
        chunked_response(b"}\n"),
        chunked_response(b"[]\n"),
        chunked_response(b"{\n") + b"0\r\n\r\n",
        chunked_response(b'{"endpoints":[{}]}\n'),
        chunked_response(json.dumps(change_document(1, endpoint_row("s", address="nowhere"))).encode() + b"\n"),
        chunked_response(json.dumps(change_document(1, endpoint_row("s", status="odd"))).encode() + b"\n"),
    ],
)
def test_invalid_watch_response_is_a_discovery_error(data):
    with pytest.raises(DiscoveryError):
        WatchReader().feed(data)


def test_names_and_addresses_are_independent_and_outdated_changes_are_ignored():
    directory = EndpointDirectory()
    first = directory.apply(
        parse_change(change_document(5, endpoint_row("s1"), endpoint_row("s2", "127.0.0.1:7001"), snapshot=True))
    )
    assert [each.id for each in first.endpoints.endpoints] == ["s1", "s2"] and first.replaced == []
    second = directory.apply(
        parse_change(change_document(6, endpoint_row("s1", status="left"), endpoint_row("s3")))
    )  # a new worker at its address
    assert (
        second.replaced == ["s1"]
        and directory.address_of("s1") is None
        and directory.address_of("s3") == ("127.0.0.1", 7000)
    )
    assert [each.id for each in second.endpoints.endpoints] == ["s2", "s3"]
    assert directory.apply(parse_change(change_document(6, endpoint_row("s1")))) == AppliedChange(None, [])
    third = directory.apply(
        parse_change(change_document(7, endpoint_row("s2", "127.0.0.1:7009"), endpoint_row("s3", since=5)))
    )
    assert sorted(third.replaced) == ["s2", "s3"]


WIRE_SETTINGS = {
    "balancers": 2,
    "myNumber": 1,
    "locality": "a",
    "classes": [
        {"name": "look", "aimMs": 600.0, "deadlineMs": 1500.0, "worth": 2.0, "repeat": "retryable"},
        {
            "name": "book",
            "aimMs": 900.0,
            "deadlineMs": 2500.0,
            "worth": 6.0,
            "repeat": "dedup",
            "keyScope": "cell",
            "dedupWindowMs": 5000.0,
        },
    ],
    "packages": [{"name": "rated", "perSecond": 50.0, "storeSize": 100.0}],
    "rules": {"warmUpMs": 1000.0, "coldFrom": 0.5, "fallMultiple": 4.0, "tipAfterMs": 2000.0},
    "limits": {
        "maxAttempts": 6,
        "cancel": True,
        "mayTell": True,
        "secondCopies": True,
        "retryAfter": True,
        "maxRetryAfterMs": 1000.0,
        "connIdleMs": 15000.0,
        "dialTimeoutMs": 333.0,
    },
    "domain": {"maxUnits": 4.0, "inboxPerS": 60.0},
    "report": {"how": "answers", "fields": ["util", "inflight"]},
}


def config_document(**overrides):
    return {
        "name": "n1",
        "listen": "127.0.0.1:6379",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.2:7946", "127.0.0.1:7946"],
        "peers_all": "127.0.0.3:7946",
        "known": change_document(41, endpoint_row("s1"), snapshot=True),
        "settings": WIRE_SETTINGS,
    } | overrides


def test_configuration_is_parsed():
    config = parse_config(config_document(), {})
    assert (config.name, config.seed, config.listen) == ("n1", 0x8C1F, ("127.0.0.1", 6379))
    assert (config.memory_mb, config.sockets, config.known_endpoints.version) == (64.0, 256, 41)
    assert (config.connect_timeout_ms, config.idle_ms) == (333.0, 15000.0)
    assert config.settings.max_customers == (64 - 28) * 256
    assert config.settings.number == 1 and config.settings.load_report_fields == ("util", "inflight")


@pytest.mark.parametrize(
    ("overrides", "place"),
    [
        ({"listen": "here"}, "listen"),
        ({"discovery": 5}, "discovery"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "settings: info.rules"),
        ({"peers": ["127.0.0.1:1"]}, "peers"),
        ({"known": []}, "known"),
        ({"seed": "xyz"}, "seed"),
        ({"peers": ["127.0.0.1:1", "x"]}, r"peers\[1\]"),
    ],
)
def test_configuration_errors_name_the_field(overrides, place):
    with pytest.raises(InstanceConfigError, match=f"^{place}"):
        parse_config(config_document(**overrides), {})


def test_environment_provides_missing_addresses():
    config = parse_config(
        config_document(listen=None, discovery=None), {"PROXY_LISTEN": "127.0.0.9:1", "PROXY_DISCOVERY": "h:2"}
    )
    assert config.listen == ("127.0.0.9", 1) and config.discovery == ("h", 2)


@pytest.mark.parametrize("key", ["classes", "packages"])
def test_more_classes_or_plans_than_peer_messages_can_carry_are_rejected(key):
    # A 17th class would raise an error at its first peer message; units of a 17th plan would go to another plan.
    template = WIRE_SETTINGS[key][0]

    def config_of(count, **overrides):
        rows = [template | {"name": f"{key}-{number}"} for number in range(count)]
        return parse_config(config_document(settings=WIRE_SETTINGS | {key: rows} | overrides), {})

    limits = WIRE_SETTINGS["limits"]
    config_of(16, limits=limits | {"mayTell": True})
    with pytest.raises(InstanceConfigError, match="^settings"):
        config_of(17, limits=limits | {"mayTell": True})
    config_of(17, limits=limits | {"mayTell": False})  # no peer messages are sent
