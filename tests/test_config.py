"""The settings language: includes and encodings, properties of formatter and diff, the route index, the commands."""

import json
import os
import pathlib
import random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from test_config_corpus import GOOD, check_text

from anisefront.cli.main import main
from anisefront.config import checker, diff, formatter, loader, messages, reference
from anisefront.config.lexer import Severity
from anisefront.config.migrate import migrate, prepare
from anisefront.config.parser import parse
from anisefront.gateway.patterns import Pattern, Request, common, covers, examples, matches
from anisefront.gateway.routing import RouteIndex
from anisefront.gateway.routes import Route

ROOT = pathlib.Path(__file__).parent.parent


def error_messages(checked):
    return [problem.message for problem in checked.problems if problem.severity is Severity.ERROR]


def write_files(tmp_path, **texts):
    for name, text in texts.items():
        path = tmp_path / f"{name}.conf"
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(tmp_path / "main.conf")


def check_files(tmp_path, **texts):
    return checker.check(loader.load(write_files(tmp_path, **texts)), {})


REST = GOOD.partition("drain")[0]


def test_include_puts_lines_in_and_names_their_file(tmp_path):
    good = check_files(tmp_path, main=REST + 'include "tail.conf"\n', tail="drain 6s\nstop 10s\n")
    assert good.config is not None and good.config.drain_ms == 6000
    bad = check_files(tmp_path, main=REST + 'include "tail.conf"\n', tail="drain 6\n")
    text = messages.format_problem(bad.loaded, bad.problems[0])
    assert "tail.conf:1:7: error: drain: time: '6' has no unit of time - write 6ms or 6s" in text
    assert "    drain 6\n          ^" in text and f"included at {tmp_path}/main.conf:30:9" in text


def test_include_loops(tmp_path):
    assert (
        "include loop: main.conf -> a.conf -> main.conf"
        in error_messages(check_files(tmp_path, main=GOOD + 'include "a.conf"\n', a='include "main.conf"\n'))[0]
    )
    (tmp_path / "link.conf").symlink_to(tmp_path / "main.conf")
    assert "include loop" in error_messages(check_files(tmp_path, main=GOOD + 'include "link.conf"\n'))[0]
    (tmp_path / "link.conf").unlink()
    (tmp_path / "a.conf").unlink()
    assert "include loop" in error_messages(check_files(tmp_path, main=GOOD + 'include "*.conf"\n'))[0]


def test_same_file_twice(tmp_path):
    messages_shown = error_messages(
        check_files(tmp_path, main=REST + 'include "a.conf"\ninclude "./a.conf"\n', a="drain 6s\n")
    )
    assert len(messages_shown) == 1 and "included twice, first by" in messages_shown[0]


def test_include_that_vanishes_between_check_and_load(tmp_path):
    path = write_files(tmp_path, main=REST + 'include "a.conf"\n', a="drain 6s\n")
    assert checker.check(loader.load(path), {}).config is not None
    (tmp_path / "a.conf").unlink()
    second = checker.check(loader.load(path), {})
    assert second.config is None and "can't be read: No such file" in error_messages(second)[0]


@pytest.mark.parametrize(
    "change",
    [
        lambda text: b"\xef\xbb\xbf" + text.encode(),
        lambda text: text.replace("\n", "\r\n").encode(),
        lambda text: text.rstrip("\n").encode(),
    ],
)
def test_byte_order_mark_crlf_and_missing_final_newline(tmp_path, change):
    assert check_files(tmp_path, main=change(GOOD)).config is not None


def test_invalid_utf8(tmp_path):
    bad = check_files(tmp_path, main=GOOD.replace("k-1", "k-\N{LATIN SMALL LETTER E WITH ACUTE}").encode("latin-1"))
    assert error_messages(bad) == ["byte 0xE9 is no UTF-8"] and bad.problems[0].location[1:] == (23, 7)
    assert error_messages(check_files(tmp_path, main=GOOD.encode("utf-16"))) == ["the file is UTF-16"]


@pytest.mark.parametrize("line", ["gatekeeper 0 of 2 zone room-a\n", "customers header x-api-key plan stall\n"])
@pytest.mark.parametrize(
    "warned",
    [
        'include "none-*.conf"\n',
        "# nothing\n",
        "define unused {\n}\n",
        "class vi\u0435w aim 1s deadline 2s repeat safe\n",
    ],
)
def test_missing_line_is_reported_beside_a_warning(line, warned):
    """Guards against a check that takes a warning for an error: it raised instead of reporting the missing line."""
    assert any(
        f"there is no {line.split()[0]!r} line" in message
        for message in error_messages(check_text(GOOD.replace(line, warned)))
    )


def test_hostile_sizes():
    assert error_messages(check_text(GOOD + "x" * 10_000_000)) == ["a line of 10000000 characters, at most 65536"]
    deep = error_messages(check_text(GOOD + "a {\n" * 10_000 + "}\n" * 10_000))
    assert len(deep) <= 2 and "nested more than 8" in " ".join(deep)
    many = check_text(GOOD + "nonsense here\n" * 5000)
    assert len(many.problems) == 1001 and "4000 more" in many.problems[-1].message


def test_truncated_text_never_raises():
    for at in range(0, len(GOOD), 3):
        check_text(GOOD[:at])


@given(st.binary(max_size=300))
def test_garbage_never_raises(data):
    file_contents = {"f": b"language 2\n" + data}
    checker.check(
        loader.load("f", lambda path: file_contents[path] if path in file_contents else b"", lambda pattern: []), {}
    )


@given(st.integers(0, len(GOOD)), st.integers(0, 40), st.text(alphabet='{}[]"\\#$,;=:*/ \n\tabc019é', max_size=12))
def test_damaged_good_text_never_raises(at, length, junk):
    check_text(GOOD[:at] + junk + GOOD[at + length :])


def test_definitions_and_environment():
    text = GOOD.replace(
        "drain 6s",
        "env WAIT default 6s\ndrain ${WAIT}\ndefine two [path class] {\n"
        "    route GET /${path}/a class ${class} pool stalls\n"
        "    route GET /${path}/b class ${class} pool stalls\n}\nuse two [x view]\nuse two [y order]",
    )
    config = check_text(text).config
    assert config.drain_ms == 6000 and [route.pattern.path for route in config.routes[2:]] == [
        "/x/a",
        "/x/b",
        "/y/a",
        "/y/b",
    ]
    assert check_text(text, {"WAIT": "7s"}).config.drain_ms == 7000


@pytest.mark.parametrize(
    ("text", "value"), [("12 requests/min", 0.2), ("3 units/s", 3), ("90/h", 0.025), ("0.1/s", 0.1)]
)
def test_rates(text, value):
    assert check_text(GOOD.replace("rate 6/s", f"rate {text}")).config.settings.plans[0].rate_per_s == value


@given(st.floats(0, 1e9, allow_subnormal=False))
def test_numbers_are_written_and_read_without_loss(value):
    from anisefront.config.lexer import Location, Lexeme
    from anisefront.config.values import MAX_DIGITS, RATE, TIME, format_rate, format_time

    for kind, text in ((TIME, format_time(value)), (RATE, format_rate(value))):
        if "e" not in text and sum(each.isdigit() for each in text) < MAX_DIGITS:
            assert kind.read(Lexeme(text, Location(0, 1, 1))) == value, text


# ---- formatter and diff -----------------------------------------------------------------------------------------

SEGMENT = st.sampled_from(["a", "b", ":x", ":y", ""])
PATHS = st.tuples(st.lists(SEGMENT, min_size=1, max_size=3), st.sampled_from(["", "", "/*", "/a*"])).map(
    lambda parts: "/"
    + "/".join(f"{part}{n}" if part.startswith(":") else part for n, part in enumerate(parts[0]))
    + parts[1]
)
ROUTES = st.lists(
    st.builds(
        lambda methods, path, host, when, name: Route(
            Pattern(methods, path, host, tuple(sorted(when.items()))), name, "p"
        ),
        st.sampled_from([("GET",), ("POST",), ("GET", "POST"), ("*",), ("GET", "*")]),
        PATHS,
        st.sampled_from(["*", "h.example", "*.example"]),
        st.dictionaries(st.sampled_from(["q", "r"]), st.sampled_from(["1", "2", "*"]), max_size=2),
        st.sampled_from(["view", "order"]),
    ),
    max_size=7,
).map(tuple)
REQUESTS = st.builds(
    lambda method, host, path, headers: Request(method, host, path, tuple(sorted(headers.items()))),
    st.sampled_from(["GET", "POST", "PUT"]),
    st.sampled_from(["h.example", "g.example", "x.y.example", "example", "o"]),
    st.lists(st.sampled_from(["a", "b", "ab", "", "z"]), min_size=1, max_size=4).map(
        lambda parts: "/" + "/".join(parts)
    ),
    st.dictionaries(st.sampled_from(["q", "r"]), st.sampled_from(["1", "2", "3"]), max_size=2),
)


def linear_search(routes, request):
    """Return the first matching route, by trying all in order of precedence; -1 if there is none."""
    index = RouteIndex(routes)
    for number, method in index.in_order():
        pattern = routes[number].pattern
        if method in ("*", request.method) and matches(
            Pattern((method,), pattern.path, pattern.host, pattern.when), request
        ):
            return number
    return -1


def find_route(routes, request):
    return RouteIndex(routes).find(request.method, request.host, request.path, dict(request.headers))


@settings(max_examples=400, deadline=None)
@given(ROUTES, st.lists(REQUESTS, min_size=1, max_size=20))
def test_index_agrees_with_linear_search(routes, requests):
    for request in requests:
        assert find_route(routes, request) == linear_search(routes, request)


@settings(max_examples=400, deadline=None)
@given(ROUTES, ROUTES, st.lists(REQUESTS, max_size=30))
def test_diff_of_routes_is_empty_exactly_when_all_requests_are_routed_alike(before, after, requests):
    def outcome(routes, request):
        number = find_route(routes, request)
        return routes[number].outcome if number >= 0 else None

    changes = list(diff.diff_routes(before, after))
    for change in changes:
        assert outcome(before, change.witness) != outcome(after, change.witness)
    if not changes:
        for request in requests:
            assert outcome(before, request) == outcome(after, request), request


@settings(max_examples=200, deadline=None)
@given(ROUTES, st.randoms())
def test_diff_sees_every_change_of_one_route(routes, chance):
    if not routes:
        return
    number = chance.randrange(len(routes))
    changed = (*routes[:number], Route(routes[number].pattern, "other", "p"), *routes[number + 1 :])
    reached = any(find_route(routes, request) == number for request in examples(routes[number].pattern))
    assert list(diff.diff_routes(routes, changed)) or not reached


@settings(max_examples=300, deadline=None)
@given(ROUTES.filter(lambda routes: len(routes) > 1), REQUESTS)
def test_common_and_covers(routes, request):
    first, second = routes[0].pattern, routes[1].pattern
    shared = common(first, second)
    assert all(matches(first, each) and matches(second, each) for each in shared)
    if matches(first, request) and matches(second, request):
        assert shared
    if covers(first, second) and matches(second, request):
        assert matches(first, request)


def format_randomly(routes, chance):
    """Return settings with these routes in a random style: blocks or lines, spaces, comments, quotes, joined lines."""
    out = [GOOD.partition("route")[0]]
    for route in routes:
        pattern = route.pattern
        options = [("class", route.class_name), ("pool", "stalls"), ("host", pattern.host)]
        if pattern.when:
            options.append(("when", "[" + ", ".join(f"{name}={value}" for name, value in pattern.when) + "]"))
        chance.shuffle(options)
        head = f'route [{" ".join(pattern.methods)}] {chance.choice(["", " "])}"{pattern.path}"'
        if chance.random() < 0.5:
            out.append(head + " {" + chance.choice(["", "  # beside"]))
            out += [
                f"{'  ' * chance.randrange(3)}{name}  {value}{chance.choice(['', ' #x', ';'])}"
                for name, value in options
            ]
            out.append(chance.choice(["}", "# below\n}", "} # after"]))
        else:
            out.append(
                chance.choice(["", "# above\n", "\n\n\n"])
                + head
                + "".join(chance.choice([" ", "  ", " \\\n "]) + f"{name} {value}" for name, value in options)
            )
    return "\n".join(out) + "\n" + GOOD.partition("attempts")[1] + GOOD.partition("attempts")[2]


@settings(max_examples=150, deadline=None)
@given(ROUTES.filter(len), st.randoms())
def test_formatter_preserves_meaning_and_is_idempotent(routes, chance):
    text = format_randomly(routes, chance)
    document, problems = parse(text)
    assert not problems, text
    formatted = formatter.format_document(document)
    reparsed, problems = parse(formatted)
    assert not problems and formatter.format_document(reparsed) == formatted
    assert text.count("#") == formatted.count("#")
    before, after = check_text(text), check_text(formatted)
    assert len(error_messages(before)) == len(error_messages(after))  # the locations in the messages differ
    if before.config is not None:
        assert diff.diff(before.config, after.config) == []


def test_formatter_by_example():
    text = '# head\n\n\n\nclass   a{aim 1s ; deadline 2s}# end\n  route [ GET,POST ]  "/a b" \\\n   x y  #why\n#last'
    assert formatter.format_document(parse(text)[0]) == (
        '# head\n\nclass a {\n    aim 1s\n    deadline 2s\n}  # end\nroute [GET POST] "/a b" x y  # why\n# last\n'
    )


def test_diff_is_semantic(tmp_path):
    before = check_text(GOOD).config
    for same in (
        GOOD.replace("class view aim 1s", "class view aim 1000ms"),
        GOOD.replace("/stalls/:stall", "/stalls/:id"),
        GOOD.replace("quota small", "quota tiny"),
        GOOD.replace("rate 6/s", "rate 360 requests/min"),
    ):
        same = same.replace("quota small", "quota tiny") if "quota tiny" in same else same
        assert diff.diff(before, check_text(same).config) == []
    changes = diff.diff(
        before,
        check_text(
            GOOD.replace("burst 12", "burst 13")
            .replace("[POST PUT]", "[POST]")
            .replace("plan market\nroute", "plan stall\nroute")
        ).config,
    )
    assert [str(change) for change in changes] == [
        "plan stall: burst: 12 -> 13",
        "key ...: market-1 on market -> market-1 on stall",
        "route: class order pool stalls units-header x-units -> no route  PUT other.invalid/orders",
    ]


# ---- command line, pages, migration -----------------------------------------------------------------------------


def run_command(*arguments):
    done = CliRunner().invoke(main, [str(each) for each in arguments])
    return done.exit_code, done.output


def test_check_command(tmp_path):
    good = write_files(tmp_path, main=GOOD)
    assert run_command("check", good) == (0, f"{good}: nothing wrong\n")
    bad = write_files(tmp_path, main=GOOD.replace("aim 1s", "aim 1", 1).replace("drain 6s", "dran 6s"))
    code, output = run_command("config", "check", bad)
    assert code == 2 and output.count("error:") == 2 and output.endswith("2 errors\n")
    code, output = run_command("config", "check", "--format", "json", bad)
    rows = json.loads(output)
    assert (
        code == 2
        and [(row["line"], row["column"], row["severity"]) for row in rows] == [(10, 16, "error"), (30, 1, "error")]
        and rows[1]["mend"] == "did you mean 'drain'?"
    )
    warned = write_files(tmp_path, main=GOOD.replace("worth 2", "worth 0"))
    assert run_command("check", warned)[0] == 0 and run_command("check", "--strict", warned)[0] == 1
    assert run_command("check", tmp_path / "none.conf")[0] == 2


def test_fmt_diff_explain_and_show_commands(tmp_path):
    path = write_files(
        tmp_path, main=GOOD.replace("drain 6s", "drain    6s"), other=GOOD.replace("drain 6s", "drain 7s")
    )
    assert run_command("config", "fmt", "--check", path)[0] == 1
    assert run_command("config", "fmt", path)[0] == 0 and run_command("config", "fmt", "--check", path) == (0, "")
    assert run_command("config", "diff", path, path) == (0, "no difference for any request, plan or fleet\n")
    assert run_command("config", "diff", path, tmp_path / "other.conf") == (1, "drain_ms: 6s -> 7s\n")
    code, output = run_command(
        "config", "explain", path, "PUT", "shop/orders?x=1", "-H", "X-Api-Key: k-1", "-H", "x-units: 9"
    )
    assert code == 0 and "main.conf:25:1: POST PUT /orders -> class order" in output
    assert "customer market-1, by its key" in output and "counts  4 units" in output
    code, output = run_command("config", "show", path)
    assert code == 0 and "0123456789abcdef" not in output and "k-1" not in output and "drain 6s  # " in output


def test_explain_lists_routes_of_lower_precedence():
    from anisefront.config.explain import explain

    checked = check_text(
        GOOD.replace(
            "attempts",
            "route * /* class order pool stalls\nroute GET /stalls/:s class order pool stalls when [x=1]\nattempts",
        )
    )
    output = explain(checked, Request("GET", "h", "/stalls/7", (("x", "1"),)))
    assert "f.conf:27:1: GET /stalls/:s" in output[1] and "it has more conditions" in output[2]
    assert "the path is more specific" in output[3] and "denied with 401" in output[-1]


def test_migration_of_version_1():
    old = """# the first gatekeeper
gatekeeper 0 of 1
listen grpc 127.0.0.1:0
servers warm-up 6s cold-from 0.2
roster file "/etc/stalls.json"  # the list
class view aim 1s deadline 5s repeat safe
plan stall rate 6/s burst 12 value 0.5  # small
customer header x-api-key plan stall
route GET /stock class view
report util,inflight
"""
    assert "anisefront config migrate" in check_text(old).problems[0].suggestion
    document, problems = migrate(parse(prepare(old))[0])
    assert not problems
    text = formatter.format_document(document)
    assert text.startswith("# the first gatekeeper\nlanguage 2\n") and "# the list" in text and "# small" in text
    config = check_text(text).config
    assert config.settings.plans[0].burst == 12 and config.settings.warm_up_ms == 6000
    assert config.roster_file == "/etc/stalls.json" and config.settings.load_report_fields == ("util", "inflight")
    assert migrate(parse(text)[0])[0].directives[0].name.text == "language"


def test_examples_are_valid_and_formatted():
    for path in (ROOT / "examples").rglob("*.conf"):
        text = path.read_text()
        assert formatter.format_document(parse(text)[0]) == text, path
        if "gatekeeper " in text:
            assert error_messages(checker.check(loader.load(str(path)), os.environ)) == []


def test_pages_match_the_tables():
    assert (ROOT / "docs/operators/settings.md").read_text() == reference.reference()
    assert reference.grammar() in (ROOT / "docs/config-grammar.md").read_text()


def test_every_example_of_the_reference_is_read():
    from anisefront.config.schema import LANGUAGE, SCHEMA

    for name, spec in SCHEMA.items():
        assert spec.example.startswith(name), name
        checked = check_text("language 2\nenv FLEET_SECRET default 0123456789abcdef\n" + spec.example + "\n")
        own_problems = [
            problem for problem in checked.problems if problem.location.line == 3 and problem.code != "reference"
        ]
        assert not own_problems, (name, own_problems)
    assert set(LANGUAGE) == {"language", "include", "env", "define", "use"}


def test_look_ups_do_not_grow_with_the_routes():
    chance = random.Random(1)
    routes = tuple(Route(Pattern(("GET",), f"/a{n}/:x/b"), "view", "p") for n in range(5000))
    index = RouteIndex(routes)
    for _ in range(200):
        number = chance.randrange(5000)
        assert index.find("GET", "h", f"/a{number}/q/b?z", {}) == number


@settings(max_examples=300, deadline=None)
@given(ROUTES)
def test_crossings_are_found(routes):
    """All pairs of routes with common requests are found, if neither matches all paths of the other."""
    from anisefront.config.route_crossings import crossing_pairs
    from anisefront.gateway.patterns import common_path, path_matches, shape

    pairs = {tuple(sorted(pair)) for pair in crossing_pairs(routes)}
    for first in range(len(routes)):
        for second in range(first + 1, len(routes)):
            a, b = routes[first].pattern.path, routes[second].pattern.path
            own_a, own_b = common_path(a, a), common_path(b, b)
            crosses = (
                common_path(a, b) is not None
                and shape(a) != shape(b)
                and not path_matches(a, own_b)
                and not path_matches(b, own_a)
            )
            if crosses:
                assert (first, second) in pairs, (a, b)
