"""Invalid settings: each is reported with line and reason, without an exception and without follow-up errors.

A case is a change to the valid text below: the replaced text, its replacement, the line of the message, and words that
the message contains; "|" separates alternatives.
"""

import pytest

from anisefront.config import checker, loader
from anisefront.config.lexer import Severity

GOOD = """\
language 2
gatekeeper 0 of 2 zone room-a
listen grpc 127.0.0.1:9001
listen peers 127.0.0.1:9002
peer 0 127.0.0.1:9002
peer 1 127.0.0.1:9102
secret "0123456789abcdef"
messages 200/s
pool stalls roster "/etc/stalls.json" warm-up 10s cold-from 20%
class view aim 1s deadline 5s repeat safe worth 2
class order {
    aim 1s
    deadline 5s
    repeat keyed
    scope cell
    window 5s
}
quota small rate 6/s burst 12
quota large rate 40/s burst 60 ceiling 80/s ceiling-burst 90
plan stall quota small value 0.5
plan market quota large over-worth 20%
customers header x-api-key plan stall
key k-1 customer market-1 plan market
route GET /stalls/:stall class view pool stalls
route [POST PUT] /orders class order pool stalls units-header x-units
attempts 3 second-copies yes
report [util inflight]
path log 1s ask-again 500ms park 100ms
limits open 20000 units 4
drain 6s
stop 10s
"""
CASES = [
    # lexical
    ('secret "0123456789abcdef"', 'secret "0123456789abcdef', 7, "string that is not closed"),
    ('secret "0123456789abcdef"', 'secret "0123456789\\qcdef"', 7, "is no escape"),
    ('secret "0123456789abcdef"', 'secret \\"0123456789', 7, "in the middle of a line"),
    ("stop 10s", 'stop "10s', 31, "string that is not closed"),
    ("drain 6s", "drain \x076s", 30, "U+0007"),
    ("drain 6s", "drain " + "6" * 70_000, 30, "a line of 70006 characters"),
    ("report [util inflight]", "report util,inflight", 27, "',' can't stand here"),
    # grammar
    ("report [util inflight]", "report [util inflight", 27, "list that is not closed"),
    ("report [util inflight]", "report util inflight]", 27, "']' can't stand here"),
    ("report [util inflight]", "report []", 27, "the list is empty"),
    ("report [util inflight]", "[util inflight]", 27, "can't begin with a list"),
    ("report [util inflight]", "report [[util]]", 27, "list that is not closed"),
    ("report [util inflight]", "report [util { inflight]", 27, "list that is not closed"),
    ("    window 5s\n}", "    window 5s", 11, "block of 'class' is not closed"),
    ("    window 5s\n}", "    window 5s\n}\n}", 18, "without its {"),
    ("class order {", "{", 11, "block without a directive"),
    ("class order {", "class order", 11, "the { of 'class'"),
    ("drain 6s", '"drain" 6s', 30, "name can't be a string"),
    ("drain 6s", "a { b { c { d { e { f { g { h { i {\n} } } } } } } } }", 30, "nested more than 8"),
    ("drain 6s", "}", 30, "without its {"),
    # version
    ("language 2\n", "", 1, "no version of the language"),
    ("language 2", "language 3", 1, "language 3 is not known"),
    ("language 2", "language", 1, "not known here"),
    ("language 2", "langage 2", 1, "no version of the language"),
    ("drain 6s", "language 2", 30, "'language' can't stand here"),
    # names of directives and options
    ("listen grpc", "lisen grpc", 3, "'lisen' is no directive"),
    ("class view", "clas view", 10, "did you mean 'class'?"),
    ("drain 6s", "drian 6s", 30, "did you mean 'drain'?"),
    ("drain 6s", "DRAIN 6s", 30, "did you mean 'drain'?"),
    ("drain 6s", "xyzzy 6s", 30, "is no directive"),
    ("aim 1s deadline", "amy 1s deadline", 10, "did you mean 'aim'?"),
    ("worth 2", "wroth 2", 10, "did you mean 'worth'?"),
    ("    scope cell", "    scoop cell", 15, "did you mean 'scope'?"),
    ("drain 6s", "drain 6s now", 30, "'now' is not known here"),
    ("repeat safe worth 2", "repeat safe worth", 10, "'worth' has no value"),
    ("    scope cell", "    scope", 15, "one value is due"),
    ("    scope cell", "    scope cell zone", 15, "takes one value"),
    ("    scope cell", "    scope {\n}", 15, "one value is due"),
    ("repeat safe worth 2", "repeat safe worth 2 worth 3", 10, "'worth' stands twice"),
    ("    scope cell", "    aim 2s", 15, "'aim' stands twice"),
    ("repeat safe worth 2", "repeat safe [worth 2]", 10, "a list can't stand here"),
    ("worth 2", "worth [2 3]", 10, "one value is due, not a list"),
    # missing things
    ("drain 6s", "drain", 30, "time is missing"),
    ("class view aim 1s", "class aim 1s", 10, "no name|is not known"),
    ("aim 1s deadline 5s repeat safe", "aim 1s repeat safe", 10, "'deadline' is missing"),
    ("    repeat keyed\n", "", 11, "'repeat' is missing"),
    ("gatekeeper 0 of 2", "gatekeeper 0", 2, "'of' is missing"),
    ("plan stall quota small value", "plan stall value", 20, "'quota' is missing"),
    ("class view pool stalls", "class view", 24, "'pool' is missing"),
    ("customers header x-api-key", "customers", 22, "'header' is missing"),
    ("key k-1 customer market-1", "key k-1", 23, "'customer' is missing"),
    ("customers header x-api-key plan stall\n", "", 1, "there is no 'customers' line"),
    ("gatekeeper 0 of 2 zone room-a\n", "", 1, "there is no 'gatekeeper' line"),
    ('secret "0123456789abcdef"\n', "", 2, "without a 'secret' line"),
    ("listen peers 127.0.0.1:9002\n", "", 2, "without a 'listen peers' line"),
    ("    window 5s\n", "", 11, "keyed without a window"),
    ("    scope cell\n    window 5s\n}", "}", 11, "keyed without a window"),
    # twice
    ("drain 6s", "drain 6s\ndrain 7s", 31, "'drain' stands twice, first in line 30"),
    ("plan stall quota small value 0.5", "plan stall quota small\nplan stall quota large", 21, "'stall' stands twice"),
    ("class view", "class order", 11, "'order' stands twice"),
    ("key k-1", "key k-1 customer market-1 plan market\nkey k-1", 24, "'k-1' stands twice"),
    (
        "listen peers 127.0.0.1:9002",
        "listen grpc 127.0.0.1:9003\nlisten peers 127.0.0.1:9002",
        4,
        "'grpc' stands twice",
    ),
    ("quota small", "quota large", 19, "'large' stands twice"),
    ("peer 1 ", "peer 0 ", 6, "'0' stands twice"),
    # references
    ("class view pool stalls", "class veiw pool stalls", 24, "did you mean 'view'?"),
    ("class view pool stalls", "class view pool stall", 24, "did you mean 'stalls'?"),
    ("quota small value", "quota smal value", 20, "did you mean 'small'?"),
    ("x-api-key plan stall", "x-api-key plan gold", 22, "there is no plan 'gold'"),
    ("market-1 plan market", "market-1 plan markt", 23, "did you mean 'market'?"),
    # types and units
    ("aim 1s", "aim 1", 10, "write 1ms or 1s"),
    ("aim 1s", "aim 1x", 10, "no unit of time"),
    ("aim 1s", "aim 1S", 10, "no unit of time"),
    ("aim 1s", "aim -1s", 10, "below nothing"),
    ("aim 1s", "aim soon", 10, "no time"),
    ("aim 1s", "aim 1.s", 10, "unit of time"),
    ("aim 1s", "aim 1,5s", 10, "can't stand here"),
    ("aim 1s", "aim ١s", 10, "no time"),
    ("drain 6s", "drain 6", 30, "write 6ms or 6s"),
    ("    window 5s", "    window 5", 16, "write 5ms or 5s"),
    ("rate 6/s", "rate 6", 18, "write 6/s or 6/min"),
    ("rate 6/s", "rate 6s", 18, "write 6/s or 6/min"),
    ("rate 6/s", "rate 6/fortnight", 18, "is no rate"),
    ("rate 6/s", "rate 6 apples/s", 18, "is no"),
    ("rate 6/s", "rate fast", 18, "no rate"),
    ("messages 200/s", "messages 200", 8, "write 200/s"),
    ("cold-from 20%", "cold-from 20", 9, "did you mean 20%?"),
    ("cold-from 20%", "cold-from 120%", 9, "more than the whole"),
    ("over-worth 20%", "over-worth 2", 21, "more than the whole"),
    ("burst 12", "burst 12units", 18, "no bare number"),
    ("burst 12", "burst many", 18, "no number"),
    ("burst 12", "burst 1e3", 18, "no bare number"),
    ("burst 12", "burst " + "9" * 5000, 18, "has 5000 digits"),  # found by the fuzz: it raised
    ("burst 12", "burst 0x10", 18, "no bare number"),
    ("limits open 20000", "limits open 2.5", 29, "no whole number"),
    ("limits open 20000", "limits open 99999999999999999999", 29, "too large"),
    ("attempts 3", "attempts three", 26, "no whole number"),
    ("attempts 3", "attempts 0", 26, "no attempt at all"),
    ("second-copies yes", "second-copies maybe", 26, "none of yes, no"),
    ("second-copies yes", "second-copies yse", 26, "did you mean 'yes'?"),
    ("repeat safe", "repeat sefe", 10, "did you mean 'safe'?"),
    ("    scope cell", "    scope everywhere", 15, "none of all, zone, cell"),
    ("report [util inflight]", "report [util infligt]", 27, "did you mean 'inflight'?"),
    ("class view", "class 9view", 10, "is no name"),
    ("class view", 'class ""', 10, "is no name"),
    ("class view", "class " + "v" * 80, 10, "is no name"),
    ("header x-api-key", "header X-Api-Key", 22, "write x-api-key"),
    ("header x-api-key", 'header "x api"', 22, "is no header name"),
    ("units-header x-units", "units-header X-Units", 25, "write x-units"),
    # addresses, paths, methods, hosts
    ("grpc 127.0.0.1:9001", "grpc 127.0.0.1", 3, "is no address"),
    ("grpc 127.0.0.1:9001", "grpc :9001", 3, "is no address"),
    ("grpc 127.0.0.1:9001", "grpc 127.0.0.1:99999", 3, "is no address"),
    ("grpc 127.0.0.1:9001", 'grpc "[::x]:9001"', 3, "is no address"),
    ("listen grpc", "listen http", 3, "none of grpc, jsonrpc, peers"),
    ("listen grpc", "listen gprc", 3, "did you mean 'grpc'?"),
    ("route GET /stalls", "route get /stalls", 24, "write GET"),
    ("route GET /stalls", "route G3T /stalls", 24, "is no method"),
    ("route GET /stalls", "route GET stalls", 24, "write /stalls"),
    ("/stalls/:stall", "/stalls/*/x", 24, "may only end a path"),
    ("/stalls/:stall", "/stalls?x=1", 24, "query is no part"),
    ("/stalls/:stall", "/stalls/:", 24, "parameter without a name"),
    ("/stalls/:stall", "/:a/:a", 24, "one name twice"),
    ("class view pool stalls", "class view pool stalls host Shop.Example", 24, "write shop.example"),
    ("class view pool stalls", "class view pool stalls host a.*.example", 24, "is no host"),
    ("class view pool stalls", "class view pool stalls when [x-client]", 24, "write name=value"),
    ("class view pool stalls", "class view pool stalls when []", 24, "the list is empty"),
    # ranges
    ("gatekeeper 0 of 2", "gatekeeper 2 of 2", 2, "gatekeeper 2 of 2"),
    ("gatekeeper 0 of 2", "gatekeeper 0 of 0", 2, "gatekeeper 0 of 0"),
    ("peer 1 ", "peer 7 ", 6, "peer 7 of 2"),
    ('"0123456789abcdef"', '"short"', 7, "a secret of 5 bytes"),
    ('roster "/etc/stalls.json"', "", 9, "one of roster and embedded"),
    ('roster "/etc/stalls.json"', 'roster "/a" embedded 2', 9, "one of roster and embedded"),
    (
        "route GET /stalls",
        'pool other roster "/b"\nroute GET /x class view pool other\nroute GET /stalls',
        26,
        "routes reach 2 pools",
    ),
    # meaning
    ("ceiling 80/s", "ceiling 30/s", 19, "ceiling is below its rate"),
    ("deadline 5s repeat safe", "deadline 500ms repeat safe", 10, "deadline under its aim"),
    ("burst 12", "burst 0.5", 18, "no request can use"),
    ("stop 10s", "stop 5s", 30, "killed after 5000ms"),
    ("key k-1", "key k-2 customer market-1 plan stall\nkey k-1", 24, "on two plans"),
    ("listen grpc 127.0.0.1:9001", "listen grpc 127.0.0.1:9001\nlisten jsonrpc 127.0.0.1:9001", 4, "two fronts on one"),
    ("route [POST PUT]", "route GET /stalls/:other class order pool stalls\nroute [POST PUT]", 25, "never matches"),
    # directives of the language itself
    ("drain 6s", 'include "no-such-file.conf"', 30, "can't be read"),
    ("drain 6s", "include", 30, "one path or pattern is due"),
    ("drain 6s", "include a b", 30, "one path or pattern is due"),
    ("drain 6s", "env", 30, "a name is due"),
    ("drain 6s", "env NOT_SET_AT_ALL", 30, "is not set"),
    ("drain 6s", "drain ${WAIT}", 30, "${WAIT} is not declared"),
    ('"0123456789abcdef"', '"${0123456789abcdef"', 7, "that is not closed"),
    ("drain 6s", "define x {\n}\ndefine x {\n}\nuse x", 32, "definition 'x' stands twice"),
    ("drain 6s", "define", 30, "a name, [parameters] and a block"),
    ("drain 6s", "define x [a] {\n    drain ${a}\n}\nuse x", 33, "takes 1 values, not 0"),
    ("drain 6s", "define x {\n    use x\n}\nuse x", 31, "uses itself"),
    ("drain 6s", "use y", 30, "there is no definition 'y'"),
    ("drain 6s", "define wait {\n}\nuse wiat\nuse wait", 32, "did you mean 'wait'?"),
    ("class order {", "class order {\n    include x", 12, "'include' is not known here"),
]


def check_text(text, environment=None):
    return checker.check(loader.load_text(text, "f.conf"), environment or {})


def test_valid_text_has_no_problems():
    checked = check_text(GOOD)
    assert [p for p in checked.problems if p.severity is not Severity.NOTE] == [] and checked.config is not None


def test_there_are_enough_cases():
    assert len(CASES) >= 120 and len({(old, new) for old, new, _, _ in CASES}) == len(CASES)


@pytest.mark.parametrize(("old", "new", "line", "words"), CASES, ids=[f"{n}" for n in range(len(CASES))])
def test_errors_name_line_and_reason(old, new, line, words):
    assert GOOD.count(old) >= 1, old
    checked = check_text(GOOD.replace(old, new, 1))
    errors = [problem for problem in checked.problems if problem.severity is Severity.ERROR]
    messages = [f"{problem.location.line}: {problem.message} - {problem.suggestion}" for problem in errors]
    assert checked.config is None
    matching = [text for text in messages if text.startswith(f"{line}: ") and any(w in text for w in words.split("|"))]
    assert matching, messages
    assert len(errors) <= 2, messages


WARNINGS = [
    ("ceiling-burst 90", "ceiling-burst 9", 19, "ceiling's burst is below the burst"),
    ("units 4", "units 4\nquota idle rate 1/s", 30, "no plan has it"),
    ("class view aim", "class idle aim 1s deadline 1s repeat safe\nclass view aim", 10, "no route leads to it"),
    ("pool stalls roster", 'pool idle roster "/x"\npool stalls roster', 9, "no route reaches it"),
    ("peer 1 127.0.0.1:9102\n", "", 5, "no peer line for gatekeeper 1"),
    ("class view aim 1s", "class view window 5s aim 1s", 10, "has no effect"),
    ("    window 5s", "    window 150ms", 16, "no time for a repeat"),
    ("worth 2", "worth 0", 10, "worth nothing"),
    ("attempts 3 second", "attempts 1 second", 26, "one attempt is all"),
    ("ask-again 500ms", "ask-again 9s", 28, "outlasts the deadline"),
    ("quota small rate 6/s burst 12", "quota small burst 12", 18, "holds nobody to anything"),
    (
        "class view pool stalls",
        "class view pool stalls\nroute GET /Stalls/:stall class order pool stalls",
        25,
        "by case alone",
    ),
    (
        "class view pool stalls",
        "class view pool stalls\nroute GET /stalls/:stall/ class order pool stalls",
        25,
        "by a final slash alone",
    ),
    (
        "class view pool stalls",
        "class view pool stalls when [a=1]\nroute GET /stalls/:x class order pool stalls when [b=2]",
        25,
        "GET other.invalid/stalls/other~ a: 1 b: 2",
    ),
    ("class view", "class vi\u0435w", 10, "CYRILLIC|cyrillic"),
    ("drain 6s", 'include "none-*.conf"', 30, "no file matches"),
]


@pytest.mark.parametrize(("old", "new", "line", "words"), WARNINGS, ids=[f"{n}" for n in range(len(WARNINGS))])
def test_warnings_name_line_and_reason(old, new, line, words):
    assert old in GOOD
    checked = check_text(GOOD.replace(old, new, 1))
    messages = [
        f"{p.location.line}: {p.message} - {p.suggestion}" for p in checked.problems if p.severity is Severity.WARNING
    ]
    assert [text for text in messages if text.startswith(f"{line}: ") and any(w in text for w in words.split("|"))], [
        (p.location.line, p.message) for p in checked.problems
    ]
