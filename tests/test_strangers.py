"""Isolation of customers: no client input may reach another customer's quota, request or route."""

import json
import pathlib

import pytest
from test_core import ProxyHarness
from test_module import ENDPOINT_LIST, new_arrival, new_controller, actions_of
from test_path import Running, check_headers

from anisefront.upstream.delegated_checks import Verdict
from anisefront.gateway.request_terms import RequestTerms
from anisefront.config import checker, loader
from anisefront.gateway.errors import AmbiguousPathError
from anisefront.gateway.paths import normalize_target
from anisefront.gateway.patterns import Pattern
from anisefront.gateway.routing import Router
from anisefront.gateway.errors import UnroutableRequestError
from anisefront.gateway.routes import Key, Route
from anisefront.frontends.errors import InvalidParamsError
from anisefront.frontends.jsonrpc_params import parse_params
from anisefront.policy import quota_borrower
from anisefront.policy.actions import Reject, RejectionReason, SendToPeer, StartAttempt
from anisefront.policy.events import Arrival, AttemptResult, PeerMessage
from anisefront.policy.peer_codec import QuotaMessage, QuotaMessageKind, customer_tag, decode, encode

ROOT = pathlib.Path(__file__).parent.parent


# ---- customer names ---------------------------------------------------------------------------------------------


def router(**more):
    return Router(
        (Route(Pattern(("GET",), "/public/*"), "view"), Route(Pattern(("*",), "/pre-order"), "order")),
        {"view": 1000.0, "order": 1000.0},
        "x-api-key",
        {"k-secret": Key("stall-7", "narrow")},
        **more,
    )


def test_api_key_equal_to_a_customer_name_is_another_customer():
    owner = router(default_plan="wide").route("GET", "h", "/public/x", {"x-api-key": "k-secret"})
    for key in ("stall-7", owner.customer, "customer:stall-7", "key:stall-7"):
        other = router(default_plan="wide").route("GET", "h", "/public/x", {"x-api-key": key})
        assert other.customer != owner.customer and other.plan == "wide"


@pytest.fixture(scope="module")
def narrow(tmp_path_factory):
    path = tmp_path_factory.mktemp("conf") / "narrow.conf"
    text = (ROOT / "examples/loopback.conf").read_text()
    path.write_text(
        text + "quota five rate 1/h burst 5\nplan narrow quota five\n"
        "key k-secret customer stall-7 plan narrow\n"
        "route GET /public/* class stock-view pool main\n"
    )
    running = Running(path)
    yield running
    running.stop()


def test_customer_keeps_its_quota_when_others_send_its_name_as_key(narrow):
    """Guards against a client that sent another customer's name as its key: it got 3 of 5 units, the customer none."""
    for number in range(20):
        answer = narrow.check(x_api_key="stall-7", x_request_id=f"s{number}")
        narrow.log(check_headers(answer)["x-anisefront-attempt"])
    for number in range(5):
        answer = narrow.check("POST", "/pre-order", x_api_key="k-secret", x_request_id=f"o{number}")
        assert answer.HasField("ok_response"), (number, answer)
        narrow.log(check_headers(answer)["x-anisefront-attempt"])


# ---- customer tags ----------------------------------------------------------------------------------------------


def test_customer_tags_are_wide_keyed_and_equal_at_every_gateway():
    assert customer_tag("c", b"k" * 32) == customer_tag("c", b"k" * 32) != customer_tag("c", b"l" * 32)
    tags = {customer_tag(f"customer-{n}", b"fleet") for n in range(200_000)}
    assert len(tags) == 200_000 and max(tags).bit_length() > 72
    # With CRC-32 as the tag, a client could find a name that collides with another customer's.
    import zlib

    assert zlib.crc32(b"plumless") == zlib.crc32(b"buckeroo")
    assert customer_tag("plumless") != customer_tag("buckeroo")


def test_quota_owner_separates_customers_with_equal_checksums():
    controller = new_controller(gateways=300, number=7)
    controller.handle(1000, [ENDPOINT_LIST])
    granted = {}
    for serial, name in enumerate(("plumless", "buckeroo")):
        requests = [
            QuotaMessage(QuotaMessageKind.REQUEST, customer_tag(name), 20 * serial + n, 1.0, 0.0, 1, 0)
            for n in range(1, 13)
        ]
        actions = controller.handle(1001, [PeerMessage(1 + serial, encode(1, 1.0, requests, []))])
        granted[name] = sum(
            message.kind is QuotaMessageKind.GRANT
            for action in actions_of(SendToPeer, actions)
            for message in decode(action.data).quota_messages
        )
    assert granted["plumless"] == granted["buckeroo"] >= 9


def test_colliding_customer_tags_reject_the_second_customer(monkeypatch):
    monkeypatch.setattr(quota_borrower, "customer_tag", lambda customer, key: 6)
    controller = new_controller()
    assert actions_of(StartAttempt, controller.handle(1000, [ENDPOINT_LIST, new_arrival(1, customer="first")]))
    actions = controller.handle(1001, [new_arrival(2, customer="second"), new_arrival(3, customer="first")])
    assert [(each.id, each.reason) for each in actions_of(Reject, actions)] == [(2, RejectionReason.INVALID)]
    assert "second" not in controller.quota_borrower.accounts and set(controller.requests) == {1, 3}


def test_tag_key_is_derived_from_the_secret_and_not_shown():
    text = (ROOT / "examples/loopback.conf").read_text().replace("gatekeeper 0 of 1", "gatekeeper 0 of 2")
    text += "listen peers 127.0.0.1:0\npeer 1 127.0.0.1:9\nsecret "
    first, second = (
        checker.check(loader.load_text(text + secret, "x.conf")).config
        for secret in ("0123456789abcdef", "fedcba9876543210")
    )
    assert len(first.settings.tag_key) == 32 and first.settings.tag_key != second.settings.tag_key
    assert "tag_key" not in repr(first.settings)
    from anisefront.config.diff import diff

    assert [str(change) for change in diff(first, second)] == ["secret: one -> another"]


def test_unusual_customer_names_have_tags():
    for name in ("", "\udcff", "\x00", "x" * 256):
        assert customer_tag(name) >= 0
    controller = new_controller()
    controller.handle(1000, [ENDPOINT_LIST, Arrival(1, "\udcff", "look", "rated", 5000.0)])
    assert controller.quota_borrower.accounts


# ---- request ids ----------------------------------------------------------------------------------------------


def test_request_ids_of_different_customers_are_independent():
    desk = ProxyHarness()
    for customer in ("c", "d"):
        desk.delegated_requests.first_check(
            "same",
            desk.responses.append,
            RequestTerms(customer, "safe", "wide", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
            "p",
        )
    desk.run(0.01)
    assert [answer.verdict for answer in desk.responses] == [Verdict.START_ATTEMPT, Verdict.START_ATTEMPT]
    desk.check("same")  # of the same customer: it may be the same attempt over two proxies
    assert desk.responses[2].reason == "in-progress"
    # If two customers use one id, a denial that names only the id can't be attributed to either.
    assert not desk.delegated_requests.denial_logged("same", "p")
    for answer in desk.responses[:2]:
        assert desk.log(answer.attempt_name, AttemptResult.OK)
    assert desk.is_empty() and not desk.delegated_requests.index.by_request_id


def test_request_id_is_released_for_each_customer_separately():
    desk = ProxyHarness()
    desk.check("same")
    desk.delegated_requests.first_check(
        "same",
        desk.responses.append,
        RequestTerms("d", "safe", "wide", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
        "p",
    )
    desk.run(0.01)
    assert desk.log(desk.responses[0].attempt_name, AttemptResult.OK)
    assert desk.delegated_requests.denial_logged("same", "p")  # only the other customer's request is left under the id
    desk.run(0.01)
    assert desk.is_empty() and not desk.delegated_requests.index.by_request_id


# ---- paths ----------------------------------------------------------------------------------------------------

RFC = [
    ("/a/b/c/./../../g", "/a/g"),  # RFC 3986, 5.2.4
    ("/b/c/g;x=1/./y", "/b/c/g;x=1/y"),
    ("/b/c/g;x=1/../y", "/b/c/y"),
    ("/b/c/g?y/../x", "/b/c/g?y/../x"),  # 5.4.2
    ("/b/c/.g", "/b/c/.g"),
    ("/b/c/g..", "/b/c/g.."),
    ("/b/c/..g", "/b/c/..g"),
    ("/b/c/g/.", "/b/c/g/"),
    ("/b/c/..", "/b/"),
    ("/b/c/./g/.", "/b/c/g/"),
    ("/b/c/g/./h", "/b/c/g/h"),
    ("/b/c/g/../h", "/b/c/h"),
    ("/a/./b/../b/%63/%7bfoo%7d", "/a/b/c/%7Bfoo%7D"),
    ("/%7Esmith/home", "/~smith/home"),
]  # 6.2.2, 6.2.3


@pytest.mark.parametrize(
    ("raw", "form"),
    [
        *RFC,
        ("/", "/"),
        ("//a///b//", "/a/b/"),
        ("/public/../pre-order", "/pre-order"),
        ("/public/%2e%2e/pre-order", "/pre-order"),
        ("/p%72e-order", "/pre-order"),
        ("/a{b}", "/a%7Bb%7D"),
        ("/%e4%bd%a0", "/%E4%BD%A0"),
    ],
)
def test_paths_are_normalized(raw, form):
    assert normalize_target(raw) == form and normalize_target(form) == form


@pytest.mark.parametrize(
    "raw",
    [
        "",
        "*",
        "http://h/a",
        "/..",
        "/../../../g",
        "/a%2fb",
        "/a%2Fb",
        "/a%5cb",
        "/a\\b",
        "/a%00",
        "/a%0d%0a",
        "/a%252e",
        "/a%25%32%65"[:5] + "2fb",
        "/%c0%ae%c0%ae/x",
        "/%ff",
        "/x/..;/b",
        "/x/.;a=1/b",
        "/a b",
        "/a\tb",
        "/a%2",
        "/a%zz",
        "/a#b",
        "/a?b#c",
        "/a?b c",
        "/\u00e9",
        "/a//../b",
        "/a\x7f",
    ],
)
def test_ambiguous_paths_are_rejected(raw):
    with pytest.raises(AmbiguousPathError):
        normalize_target(raw)
    with pytest.raises(UnroutableRequestError, match="unclear-path") as caught:
        router(default_plan="wide").route("GET", "h", raw, {"x-api-key": "k"})
    assert caught.value.status == 400


def test_equivalent_paths_take_the_same_route():
    """Each combination of dots, slashes and encodings takes the route of the path that an endpoint would serve."""
    import itertools

    parts = ("/public", "/pre-order", "/..", "/.", "/%2e%2E", "//", "/x", "/%70re-order")
    table, seen = router(default_plan="wide"), 0
    for length in range(1, 6):
        for raw in map("".join, itertools.product(parts, repeat=length)):
            try:
                mapped = table.route("GET", "h", raw, {"x-api-key": "k"})
            except UnroutableRequestError:
                continue
            seen += 1
            segments: list[str] = []  # segments of the path that is served, by a minimal independent parser
            for segment in raw.replace("%2e", ".").replace("%2E", ".").replace("%70", "p").split("/"):
                segments = (
                    segments[:-1] if segment == ".." else segments + [segment] if segment not in ("", ".") else segments
                )
            assert mapped.target.rstrip("/") == "/" + "/".join(segments)
            assert (mapped.class_name == "order") == (segments == ["pre-order"])
    assert seen > 1000


def test_path_is_forwarded_in_the_form_in_which_it_was_routed(narrow):
    answer = narrow.check(path="/public/%2e%2e/stock-view?q=%2e", x_request_id="n1")
    assert check_headers(answer)[":path"] == "/stock-view?q=%2e"
    narrow.log(check_headers(answer)["x-anisefront-attempt"], 503, "upstream_remote_reset")
    again = narrow.check(
        path="/public/%2e%2e/stock-view?q=%2e",
        x_request_id="n1",
        x_anisefront_attempt=check_headers(answer)["x-anisefront-attempt"],
    )
    assert check_headers(again)[":path"] == "/stock-view?q=%2e"
    narrow.log(check_headers(again)["x-anisefront-attempt"])
    plain = narrow.check(path="/public/a/b", x_request_id="n2")
    assert ":path" not in check_headers(plain)
    narrow.log(check_headers(plain)["x-anisefront-attempt"])
    refused = narrow.check(path="/public/..%2fpre-order", x_request_id="n3")
    assert refused.denied_response.status.code == 400 and "unclear-path" in refused.denied_response.body
    (sent,) = narrow.rpc(
        {
            "jsonrpc": "2.0",
            "id": 1,
            "method": "call",
            "params": {"path": "/public/./../stock-view", "headers": {"x-api-key": "k"}},
        }
    )
    assert json.loads(sent["result"]["body"])["served"] == "/stock-view"


def test_checker_reports_unmatchable_routes_and_paths_that_bypass_a_route():
    good = (ROOT / "examples/loopback.conf").read_text()

    def problems_of(line):
        problems = checker.check(loader.load_text(good + line + "\n", "x.conf")).problems
        return [
            problem for problem in problems if problem.location.line == good.count("\n") + 1 or "slip" in problem.code
        ]

    (never,) = problems_of("route GET /a/../b class stock-view pool main")
    assert "never matches" in never.message and "write /b" in never.suggestion
    (unclear,) = problems_of("route GET /a%2fb class stock-view pool main")
    assert "encoded slash" in unclear.message
    slips = [problem for problem in problems_of("route POST /* class stock-view pool main") if problem.code == "slips"]
    assert len(slips) == 1 and "/pre-order/ goes by line" in slips[0].message
    assert not problems_of("route GET /a/b class stock-view pool main")


# ---- headers --------------------------------------------------------------------------------------------------


def test_headers_that_differ_only_in_case_are_rejected():
    with pytest.raises(InvalidParamsError, match="'x-api-key' is there twice"):
        parse_params({"path": "/", "headers": {"X-Api-Key": "mine", "x-api-key": "yours"}})
    assert parse_params({"path": "/", "headers": {"X-Api-Key": "mine"}})[0].headers == {"x-api-key": "mine"}


def test_quota_owners_are_spread_over_all_gateways():
    """Guards against owner and first gateway from one remainder: with 10 gateways only even numbers were owners."""
    from collections import Counter

    from anisefront.gateway.routing import first_gateway

    owners = Counter((first_gateway(f"c{n}", b"k", 10) + customer_tag(f"c{n}", b"k") % 10) % 10 for n in range(5000))
    assert len(owners) == 10 and max(owners.values()) < 1.3 * min(owners.values())
