"""The platform's protocol without I/O: commands, answers, terms, lists, settings; cut at every byte, and spoilt."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_rules import settings

from anisefront.resp_gateway import resp
from anisefront.resp_gateway.carrier import RespAnswers, outcome, refusal
from anisefront.resp_gateway.config import ConfigFault, node_config
from anisefront.resp_gateway.discovery import Book, DiscoveryFault, WatchReader, read_change
from anisefront.resp_gateway.terms import Reader, TermsFault, report_row
from anisefront.policy.events import AttemptResult, EndpointStatus

ASK = [b"Q.ASK", b"00000000b4d65521", b"9b1f03aa5c7e2d41", b"c=look,t=rated,d=480,units=2,spread=3,first=1"]
DO = [b"Q.DO", b"00000000b4d65521", b"9b1f03aa5c7e2d42", b"c=book,t=rated,d=480,k=5c0f6e1a2b3d4c59", b"\r\n$1 \0 body"]


# ---- commands ------------------------------------------------------------------------------------


def test_commands_cut_at_every_byte_are_the_same():
    data = resp.command(ASK) + resp.command(DO) + resp.command([b"PING"])
    for cut in range(len(data)):
        reader = resp.CommandReader()
        assert reader.feed(data[:cut]) + reader.feed(data[cut:]) == [ASK, DO, [b"PING"]]
        assert not reader.midway and reader.fault is None
    reader = resp.CommandReader()
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
def test_what_cannot_be_read_is_refused_when_it_is_read(data):
    reader = resp.CommandReader()
    assert reader.feed(resp.command([b"PING"]) + data) == [[b"PING"]]
    assert reader.fault is not None and reader.fault.line.startswith(b"ERR Protocol error")
    assert not reader.feed(resp.command([b"PING"])) and not reader.midway


def test_a_promised_length_holds_nothing():
    reader = resp.CommandReader()
    reader.feed(b"*4\r\n$65536\r\n")
    assert reader.fault is None and reader.midway and len(reader._in) == 0


@given(st.binary(max_size=200))
def test_noise_is_a_fault_or_waits(data):
    reader = resp.CommandReader()
    reader.feed(b"*2\r\n" + data)
    answers = resp.AnswerReader()
    try:
        answers.feed(data)
    except resp.RespFault as problem:
        assert b"\r" not in problem.line and b"\n" not in problem.line


@given(st.lists(st.lists(st.binary(max_size=30), min_size=1, max_size=5), max_size=5), st.integers(1, 40))
def test_what_is_written_is_read_however_it_is_cut(commands, step):
    data = b"".join(map(resp.command, commands))
    reader = resp.CommandReader()
    assert [each for at in range(0, len(data), step) for each in reader.feed(data[at : at + step])] == commands


# ---- answers -------------------------------------------------------------------------------------

SERVED = b"*3\r\n$5\r\nva\r\nl\r\n$-1\r\n$22\r\ninflight=7,util=0.61,x\r\n"


def test_answers_cut_at_every_byte_are_the_same():
    for cut in range(len(SERVED)):
        reader = resp.AnswerReader()
        found = reader.feed(SERVED[:cut])
        assert found is None
        answer = reader.feed(SERVED[cut:])
        assert answer == resp.Answer(b"va\r\nl", b"", b"", b"inflight=7,util=0.61,x") and not reader.midway


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
def test_error_lines_and_what_they_prove(data, result, report):
    answer, clean = RespAnswers().feed(data)
    assert outcome(answer) == (result, report)
    assert clean is (result is not None)


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
def test_spoilt_answers_are_faults(data):
    with pytest.raises(resp.RespFault):
        resp.AnswerReader().feed(data)


def test_what_follows_an_answer_leaves_its_connection_unclean():
    answers = RespAnswers()
    assert answers.feed(SERVED)[1]
    answer, clean = answers.feed(SERVED + b"x")
    assert answer.value == b"va\r\nl" and not clean


def test_reports_go_by_name_and_what_cannot_be_read_is_as_none():
    assert report_row(b"inflight=7,queue=2,util=0.61", ("util", "inflight")) == (0.61, 7.0)
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
        assert report_row(report, ("util", "inflight")) == ()


def test_refusals_tell_when_to_come_back():
    assert refusal(0.0) == b"-BUSY\r\n" and refusal(249.6) == b"-BUSY 250\r\n" and refusal(0.2) == b"-BUSY 1\r\n"


# ---- terms ---------------------------------------------------------------------------------------


def test_a_request_is_read_and_goes_on_with_its_own_deadline():
    wanted = Reader(settings()).read(ASK)
    assert (wanted.customer, wanted.class_name, wanted.plan_name) == ("00000000b4d65521", "look", "rated")
    assert (wanted.wait_ms, wanted.units, wanted.spread, wanted.first_gateway) == (480.0, 2.0, 3, 1)
    reader = resp.CommandReader()
    assert reader.feed(wanted.command(77.9)) == [[*ASK[:3], ASK[3].replace(b"d=480", b"d=77")]]
    assert reader.feed(Reader(settings()).read(DO).command(0.2)) == [[*DO[:3], DO[3].replace(b"d=480", b"d=1"), DO[4]]]


def test_the_deadline_is_found_wherever_it_stands():
    for terms in (b"d=9,c=look,t=rated", b"c=look,t=rated,d=9", b"c=look,d=9,t=rated,units=1"):
        wanted = Reader(settings()).read([*ASK[:3], terms])
        assert wanted.before + b"9" + wanted.after == terms


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
def test_terms_that_cannot_be_used_are_named(old, new):
    with pytest.raises(TermsFault):
        Reader(settings()).read([*ASK[:3], ASK[3].replace(old, new)])


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
def test_commands_that_cannot_be_used_are_named(parts):
    with pytest.raises(TermsFault):
        Reader(settings()).read(parts)


# ---- discovery and configuration -----------------------------------------------------------------


def row(name, address="127.0.0.1:7000", status="active", since=0):
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


def change(index, *rows, snapshot=False):
    return {"index": index, "snapshot": snapshot, "endpoints": list(rows)}


def chunked(*lines):
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%b\r\n" % (len(line), line) for line in lines
    )


def test_a_watch_is_read_line_by_line_however_it_is_cut():
    first = json.dumps(change(43, row("s1"), row("s2"), snapshot=True)).encode()
    second = json.dumps(change(44, row("s2", status="left"))).encode()
    data = chunked(first[:20], first[20:] + b"\n\n", b"\n", second + b"\n")
    for step in (1, 7, len(data)):
        reader = WatchReader()
        found = [each for at in range(0, len(data), step) for each in reader.feed(data[at : at + step])]
        assert [each.index for each in found] == [43, 44] and found[0].snapshot
        assert found[1].entries[0].endpoint.status is EndpointStatus.REMOVED


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 No\r\n\r\n",
        b"nonsense\r\n\r\n",
        chunked(b"}\n"),
        chunked(b"[]\n"),
        chunked(b"{\n") + b"0\r\n\r\n",
        chunked(b'{"endpoints":[{}]}\n'),
        chunked(json.dumps(change(1, row("s", address="nowhere"))).encode() + b"\n"),
        chunked(json.dumps(change(1, row("s", status="odd"))).encode() + b"\n"),
    ],
)
def test_a_watch_that_cannot_be_read_is_a_fault(data):
    with pytest.raises(DiscoveryFault):
        WatchReader().feed(data)


def test_names_and_addresses_are_apart_and_old_news_changes_nothing():
    book = Book()
    fleet, moved = book.apply(read_change(change(5, row("s1"), row("s2", "127.0.0.1:7001"), snapshot=True)))
    assert [each.id for each in fleet.endpoints] == ["s1", "s2"] and moved == []
    fleet, moved = book.apply(read_change(change(6, row("s1", status="left"), row("s3"))))  # a new one at its address
    assert moved == ["s1"] and book.address_of("s1") is None and book.address_of("s3") == ("127.0.0.1", 7000)
    assert [each.id for each in fleet.endpoints] == ["s2", "s3"]
    assert book.apply(read_change(change(6, row("s1")))) == (None, [])
    _, moved = book.apply(read_change(change(7, row("s2", "127.0.0.1:7009"), row("s3", since=5))))
    assert sorted(moved) == ["s2", "s3"]


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


def found(**more):
    return {
        "name": "n1",
        "listen": "127.0.0.1:6379",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.2:7946", "127.0.0.1:7946"],
        "peers_all": "127.0.0.3:7946",
        "known": change(41, row("s1"), snapshot=True),
        "settings": WIRE_SETTINGS,
    } | more


def test_the_configuration_is_read_whole():
    config = node_config(found(), {})
    assert (config.name, config.seed, config.listen) == ("n1", 0x8C1F, ("127.0.0.1", 6379))
    assert (config.memory_mb, config.sockets, config.known.index) == (64.0, 256, 41)
    assert (config.connect_timeout_ms, config.idle_ms) == (333.0, 15000.0)
    assert config.settings.max_customers == (64 - 28) * 256
    assert config.settings.number == 1 and config.settings.load_report_fields == ("util", "inflight")


@pytest.mark.parametrize(
    ("more", "place"),
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
def test_what_is_wrong_in_the_configuration_is_named(more, place):
    with pytest.raises(ConfigFault, match=f"^{place}"):
        node_config(found(**more), {})


def test_the_environment_stands_in_for_addresses():
    config = node_config(found(listen=None, discovery=None), {"PROXY_LISTEN": "127.0.0.9:1", "PROXY_DISCOVERY": "h:2"})
    assert config.listen == ("127.0.0.9", 1) and config.discovery == ("h", 2)
