"""The table of all directives, from which the checker, the reference page, completion and hover are derived.

A directive has positional arguments, followed by options as `name value`, on its line or one per line in its block.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from anisefront.config.values import (
    ADDRESS,
    HEADER,
    HOST,
    METHOD,
    NAME,
    NUMBER,
    PATH,
    RATE,
    SHARE,
    SIZE,
    TEXT,
    TIME,
    WHOLE,
    YES_OR_NO,
    Type,
    one_of,
)

VERSION = 2


@dataclass(frozen=True, slots=True)
class Argument:
    """A positional argument: a single value, or with `is_list` a list of values."""

    name: str
    type: Type
    is_list: bool = False
    refers_to: str = ""  # the directive whose first argument this value refers to


@dataclass(frozen=True, slots=True)
class Option:
    """An option of a directive: its type, its meaning, and its default as shown in the reference."""

    type: Type
    description: str
    default: str = ""
    required: bool = False
    refers_to: str = ""
    is_list: bool = False


@dataclass(frozen=True, slots=True)
class DirectiveSpec:
    """Specification of one directive."""

    description: str
    arguments: tuple[Argument, ...] = ()
    options: dict[str, Option] = field(default_factory=dict)
    repeatable: bool = False  # it may occur more than once
    required: bool = False
    unique: tuple[int, ...] = ()  # positions of the arguments that identify one occurrence
    example: str = ""


REPORT_FIELD = one_of("util", "inflight", "queue", "latency_ms", "qps", "eps")

SCHEMA: dict[str, DirectiveSpec] = {
    "gatekeeper": DirectiveSpec(
        "Who we are: our number, from 0, and how many gatekeepers there are.",
        (Argument("number", WHOLE),),
        {
            "of": Option(WHOLE, "how many gatekeepers there are", required=True),
            "zone": Option(NAME, "the zone we stand in; its workers are preferred"),
        },
        required=True,
        example="gatekeeper 0 of 3 zone room-a",
    ),
    "listen": DirectiveSpec(
        "A port that we open. Port 0 takes a free one.",
        (Argument("front", one_of("grpc", "jsonrpc", "peers")), Argument("address", ADDRESS)),
        repeatable=True,
        required=True,
        unique=(0,),
        example="listen grpc 127.0.0.1:9001",
    ),
    "peer": DirectiveSpec(
        "Where a gatekeeper of the fleet takes datagrams. The list may be shared by all, ourselves included.",
        (Argument("number", WHOLE), Argument("address", ADDRESS)),
        {"zone": Option(NAME, "the zone it stands in; keepers are chosen from other zones first")},
        repeatable=True,
        unique=(0,),
        example="peer 1 10.0.0.2:9002 zone room-b",
    ),
    "secret": DirectiveSpec(
        "Authenticates datagrams between gatekeepers; at least 16 bytes, the same for the whole fleet.",
        (Argument("text", TEXT),),
        example='secret "${FLEET_SECRET}"',
    ),
    "members": DirectiveSpec(
        "Watches who of the fleet is there, by probes between gatekeepers over 'listen peers'.",
        (),
        {"period": Option(TIME, "one other is probed in each", "1s")},
        example="members period 1s",
    ),
    "keepers": DirectiveSpec(
        "Has another gatekeeper know of each request, which takes it over if this one is lost.",
        (),
        {
            "lease": Option(
                TIME, "a gatekeeper not heard for so long is taken for lost; never a matter of safety", "1s"
            ),
            "records": Option(WHOLE, "requests kept for others", "50000"),
        },
        example="keepers lease 1s",
    ),
    "messages": DirectiveSpec(
        "How many datagrams a second we take in; 1000 where it is not said. Where more than three eighths "
        "of it come, what gatekeepers tell each other waits up to 60 ms for company.",
        (Argument("rate", RATE),),
        example="messages 1000/s",
    ),
    "pool": DirectiveSpec(
        "Workers that routes send to.",
        (Argument("name", NAME),),
        {
            "roster": Option(TEXT, "a ClusterLoadAssignment file in JSON, read again when it changes"),
            "embedded": Option(WHOLE, "so many workers inside this process, for a first try"),
            "cores": Option(WHOLE, "cores of an embedded worker", "2"),
            "service": Option(TIME, "service time of an embedded worker", "1ms"),
            "warm-up": Option(TIME, "after which a worker that has started is surely warm", "10s"),
            "cold-from": Option(SHARE, "the share of its capacity that it surely starts with", "20%"),
            "fall-multiple": Option(NUMBER, "times its present capacity that a cold worker must not be sent", "3"),
            "fall-window": Option(TIME, "for so long", "2s"),
        },
        repeatable=True,
        required=True,
        unique=(0,),
        example="pool stalls roster /etc/anisefront/stalls.json",
    ),
    "class": DirectiveSpec(
        "A kind of request: what it wants and what may be done with it.",
        (Argument("name", NAME),),
        {
            "aim": Option(TIME, "an answer within this has its full worth", required=True),
            "deadline": Option(TIME, "the client waits so long in all", required=True),
            "repeat": Option(one_of("safe", "keyed", "unsafe"), "what a second run would do", required=True),
            "worth": Option(NUMBER, "of one request, against the others", "1"),
            "late-worth": Option(SHARE, "the share of it that a late answer still has", "0"),
            "scope": Option(one_of("all", "zone", "cell"), "which workers drop a keyed repeat together", "all"),
            "window": Option(TIME, "for how long they do"),
            "unprotected": Option(one_of("go", "refuse"), "where no keeper can be told of a request", "go"),
        },
        repeatable=True,
        required=True,
        unique=(0,),
        example="class pre-order aim 1s deadline 5s worth 6 repeat keyed scope cell window 5s",
    ),
    "quota": DirectiveSpec(
        "How much a customer may use, over all gatekeepers.",
        (Argument("name", NAME),),
        {
            "rate": Option(RATE, "units that come back to its store"),
            "burst": Option(NUMBER, "units that the store holds", "one second's"),
            "max-out": Option(WHOLE, "requests out at once"),
            "ceiling": Option(RATE, "never passed, whatever it is worth"),
            "ceiling-burst": Option(NUMBER, "units that the ceiling's store holds", "one second's"),
            "ceiling-slack": Option(NUMBER, "units by which it may be passed", "0"),
        },
        repeatable=True,
        required=True,
        unique=(0,),
        example="quota small rate 6 units/s burst 12",
    ),
    "plan": DirectiveSpec(
        "What customers buy: a quota, and what leaving it is worth and costs.",
        (Argument("name", NAME),),
        {
            "quota": Option(NAME, "its quota", required=True, refers_to="quota"),
            "value": Option(NUMBER, "times the class's worth", "1"),
            "over-worth": Option(SHARE, "the share of its worth that a request beyond the quota has", "0"),
            "over-cost": Option(NUMBER, "what it costs, as a share of its worth", "0"),
        },
        repeatable=True,
        required=True,
        unique=(0,),
        example="plan stall quota small value 0.5",
    ),
    "customers": DirectiveSpec(
        "How a request names its customer.",
        (),
        {
            "header": Option(HEADER, "holds the customer's key", required=True),
            "plan": Option(NAME, "of keys that are not listed; without it they are refused", refers_to="plan"),
            "spread": Option(WHOLE, "through how many gatekeepers a customer comes", "all"),
        },
        required=True,
        example="customers header x-api-key plan stall",
    ),
    "key": DirectiveSpec(
        "A customer's key. Several keys may stand for one customer.",
        (Argument("key", TEXT),),
        {
            "customer": Option(TEXT, "whose it is", required=True),
            "plan": Option(NAME, "of that customer", required=True, refers_to="plan"),
        },
        repeatable=True,
        unique=(0,),
        example="key k-7f3a customer stall-7 plan stall",
    ),
    "route": DirectiveSpec(
        "Which class a request is of. Precedence: host, path by segment, method, conditions, line.",
        (Argument("method", METHOD, is_list=True), Argument("path", PATH)),
        {
            "class": Option(NAME, "the class", required=True, refers_to="class"),
            "pool": Option(NAME, "the workers", required=True, refers_to="pool"),
            "host": Option(HOST, "a name, *.name for all below it, * for any", "*"),
            "when": Option(TEXT, "header conditions, each name=value or name=*", is_list=True),
            "units": Option(NUMBER, "units that a request counts", "1"),
            "units-header": Option(HEADER, "a header that says so"),
        },
        repeatable=True,
        required=True,
        example="route [GET HEAD] /stalls/:stall class view pool stalls when [x-client=tablet]",
    ),
    "repeat-header": DirectiveSpec(
        "A header that marks a client's repeat, when it is neither empty nor 0.",
        (Argument("header", HEADER),),
        example="repeat-header x-client-retry",
    ),
    "attempts": DirectiveSpec(
        "The most attempts of a request.",
        (Argument("most", WHOLE),),
        {"second-copies": Option(YES_OR_NO, "a second attempt while the first is out", "yes")},
        example="attempts 3 second-copies yes",
    ),
    "report": DirectiveSpec(
        "Load report values that workers send.",
        (Argument("values", REPORT_FIELD, is_list=True),),
        example="report [util inflight]",
    ),
    "path": DirectiveSpec(
        "Times that the way over a proxy takes.",
        (),
        {
            "log": Option(TIME, "after the time allowed: no access log by then is a time-out", "1s"),
            "ask-again": Option(TIME, "a proxy that does not ask within this has answered its client", "500ms"),
            "park": Option(TIME, "how long an attempt waits for its check", "100ms"),
        },
        example="path log 1s park 100ms",
    ),
    "limits": DirectiveSpec(
        "Caps.",
        (),
        {
            "open": Option(WHOLE, "requests held", "50000"),
            "connections": Option(WHOLE, "on each front", "512"),
            "units": Option(NUMBER, "of one request", "1000"),
            "retry-after": Option(TIME, "the longest advice to stay away", "5s"),
        },
        example="limits open 20000",
    ),
    "drain": DirectiveSpec(
        "How long an ending gatekeeper finishes what was begun.", (Argument("time", TIME),), example="drain 10s"
    ),
    "stop": DirectiveSpec(
        "After how long the supervisor kills what has not ended.", (Argument("time", TIME),), example="stop 15s"
    ),
    "record": DirectiveSpec(
        "Records what this gatekeeper sees, with customers under pseudonyms.",
        (Argument("file", TEXT),),
        {
            "rotate": Option(SIZE, "a new file begins beyond this", "64MiB"),
            "keep": Option(WHOLE, "so many files are kept", "4"),
            "key": Option(TEXT, "of the pseudonyms; the same key gives the same ones", required=True),
        },
        example='record /var/log/anisefront.trace key "${FLEET_SECRET}"',
    ),
    "seed": DirectiveSpec(
        "Of the module's chances; without it a fresh one each start.",
        (Argument("number", WHOLE),),
        example="seed 7",
    ),
}
# Directives of the language itself, processed by the loader and by the expansion of definitions.
LANGUAGE: dict[str, DirectiveSpec] = {
    "language": DirectiveSpec(
        "The version of the language; must come first.", (Argument("version", WHOLE),), example="language 2"
    ),
    "include": DirectiveSpec(
        "Takes in the files that a pattern names, in the order of their names.",
        (Argument("pattern", TEXT),),
        repeatable=True,
        example='include "routes/*.conf"',
    ),
    "env": DirectiveSpec(
        "Declares an environment variable, which may then stand as ${NAME} in strings and words.",
        (Argument("name", TEXT),),
        {"default": Option(TEXT, "its value where it is not set")},
        repeatable=True,
        unique=(0,),
        example="env FLEET_SECRET",
    ),
    "define": DirectiveSpec(
        "Lines that are used more than once; parameters stand in them as ${name}.",
        (Argument("name", NAME), Argument("parameters", NAME, is_list=True)),
        repeatable=True,
        unique=(0,),
        example="define view [path class] { ... }",
    ),
    "use": DirectiveSpec(
        "Puts a definition's lines here.",
        (Argument("name", NAME), Argument("values", TEXT, is_list=True)),
        repeatable=True,
        example="use view [/stock-view stock-view]",
    ),
}
# Directives whose changes take effect only after a restart.
REQUIRES_RESTART = (
    "gatekeeper",
    "listen",
    "secret",
    "peer",
    "pool",
    "seed",
    "messages",
    "members",
    "keepers",
    "record",
)
