"""Datagrams between gatekeepers and the roster file: taken once, from the right one, in full, or not at all."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anisefront.cluster import endpoint_file
from anisefront.cluster.datagrams import DatagramAuthenticator, MAX_AGE_MS, REPLAY_WINDOW
from anisefront.policy.events import Endpoint, EndpointStatus

SECRET, NOW = b"0123456789abcdef", 1.8e12


def pair(incarnation=1):
    return DatagramAuthenticator(SECRET, 0, incarnation), DatagramAuthenticator(SECRET, 1, 1)


def test_taken_once():
    a, b = pair()
    datagram = a.write(1, b"news", NOW)
    assert b.read(datagram, NOW) == (0, b"news") and b.read(datagram, NOW) is None
    assert b.counts == {"taken": 1, "repeated": 1}


def test_out_of_order_is_taken_within_memory():
    a, b = pair()
    datagrams = [a.write(1, bytes((n,)), NOW) for n in range(200)]
    assert b.read(datagrams[199], NOW) and b.read(datagrams[199 - REPLAY_WINDOW + 1], NOW)
    assert b.read(datagrams[198], NOW) and b.read(datagrams[198], NOW) is None
    assert b.read(datagrams[199 - REPLAY_WINDOW], NOW) is None


def test_forged_misdirected_and_cut():
    a, b = pair()
    datagram = a.write(1, b"news", NOW)
    for at in range(len(datagram)):
        changed = datagram[:at] + bytes((datagram[at] ^ 1,)) + datagram[at + 1 :]
        assert b.read(changed, NOW) is None
        assert b.read(datagram[:at], NOW) is None
    assert b.read(a.write(2, b"news", NOW), NOW) is None
    assert DatagramAuthenticator(b"another secret..", 1, 1).read(datagram, NOW) is None
    assert b.read(datagram, NOW)


def test_earlier_life_and_kept_ones_change_nothing():
    old, b = pair()
    kept = [old.write(1, b"old", NOW) for _ in range(3)]
    assert b.read(kept[0], NOW)
    new, _ = pair(incarnation=2)
    assert b.read(new.write(1, b"new", NOW), NOW) == (0, b"new")
    assert b.read(kept[1], NOW) is None and b.counts["earlier_life"] == 1
    restarted = DatagramAuthenticator(SECRET, 1, 9)  # remembers nobody
    assert restarted.read(kept[2], NOW + MAX_AGE_MS + 1) is None and restarted.counts["too_old"] == 1


def test_short_secret_is_refused():
    with pytest.raises(ValueError, match="secret"):
        DatagramAuthenticator(b"short", 0, 1)


@given(st.binary(max_size=300))
def test_garbage_is_counted_only(data):
    _, b = pair()
    assert b.read(data, NOW) is None


SERVERS = [
    Endpoint("127.0.0.1:1", "a", 7, EndpointStatus.READY, 2.0, 1.7e12),
    Endpoint("127.0.0.1:2", "b", 8, EndpointStatus.DRAINING),
    Endpoint("127.0.0.1:3", "b", 8, EndpointStatus.REMOVED),
]


def test_roster_round():
    import zlib

    cells = {zlib.crc32(name.encode()): name for name in ("x", "y")}
    rows = [
        Endpoint(s.id, s.zone, cell, s.status, s.weight, s.started_ms)
        for s, cell in zip(SERVERS, [*cells, next(iter(cells))], strict=True)
    ]
    fleet = endpoint_file.parse(endpoint_file.write("c", rows, cells).encode())
    assert fleet.endpoints == tuple(rows[:2]) and fleet.complete


@pytest.mark.parametrize(
    ("health", "state"),
    [
        ("HEALTHY", EndpointStatus.READY),
        ("DEGRADED", EndpointStatus.READY),
        ("UNKNOWN", EndpointStatus.READY),
        ("DRAINING", EndpointStatus.DRAINING),
        ("UNHEALTHY", EndpointStatus.DRAINING),
        ("TIMEOUT", EndpointStatus.DRAINING),
    ],
)
def test_roster_health(health, state):
    text = {
        "endpoints": [
            {
                "lbEndpoints": [
                    {
                        "healthStatus": health,
                        "endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 80}}},
                    }
                ]
            }
        ]
    }
    assert endpoint_file.parse(json.dumps(text).encode()).endpoints[0].status is state


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"{}",
        b'{"endpoints": []}',
        b"\xff\xfe",
        b"[]",
        b'{"endpoints": [{"lbEndpoints": [{}]}]}',
        b'{"endpoints": [{"lbEndpoints": [{"endpoint": {"address": {"socketAddress": {"address": "x"}}}}]}]}',
    ],
)
def test_rosters_that_are_not_taken(text):
    with pytest.raises(endpoint_file.EndpointFileError):
        endpoint_file.parse(text)


def test_half_a_roster_is_not_taken():
    text = endpoint_file.write("c", SERVERS, {}).encode()
    for at in range(0, len(text) - 1, 13):
        with pytest.raises(endpoint_file.EndpointFileError):
            endpoint_file.parse(text[:at])


def test_roster_with_a_worker_twice():
    with pytest.raises(endpoint_file.EndpointFileError, match="is listed more than once"):
        endpoint_file.parse(endpoint_file.write("c", [SERVERS[0], SERVERS[0]], {}).encode())


def test_a_roster_reader_that_raises_is_told_and_goes_on(tmp_path, monkeypatch):
    from test_config_corpus import GOOD, check_text
    from twisted.internet.testing import MemoryReactorClock

    from anisefront.config.incremental_loader import LoadOutcome
    from anisefront.gateway.steps import run_to_end
    from anisefront.gateway.versions import build_next_version
    from anisefront.daemon.gateway_instance import GatewayInstance

    path = tmp_path / "roster.json"
    path.write_text(endpoint_file.write("c", SERVERS[:1], {}))
    reactor = MemoryReactorClock()
    text = GOOD.replace("/etc/stalls.json", str(path)).replace("0 of 2", "0 of 1").replace("peer 1", "# peer 1")
    config = check_text(text.replace("listen peers", "listen jsonrpc")).config
    gatekeeper = GatewayInstance(
        run_to_end(build_next_version(None, LoadOutcome(config, (), (), "", (config.routes,)))),
        reactor,
        lambda: 1e6 + reactor.seconds() * 1000,
    )
    real = endpoint_file.parse
    monkeypatch.setattr(endpoint_file, "parse", lambda text: 1 / 0)
    gatekeeper.start()
    assert "division" in gatekeeper.state()["roster_fault"] and not gatekeeper.request_table.endpoint_statuses
    monkeypatch.setattr(endpoint_file, "parse", real)
    reactor.advance(1.1)
    assert gatekeeper.endpoint_file.fault == "" and list(gatekeeper.request_table.endpoint_statuses) == ["127.0.0.1:1"]
