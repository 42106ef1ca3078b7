"""Benchmarks the settings language against other parsers, and the route index against simple searches.

`make bench-config` runs all in one process and prints medians of three.
"""

import random
import re
import statistics
import sys
import time
import tracemalloc

from anisefront.config import checker, loader
from anisefront.config.parser import parse
from anisefront.gateway.patterns import Pattern, matches
from anisefront.gateway.routes import Key, Route
from anisefront.gateway.routing import RouteIndex, Router

HEAD = """language 2
gatekeeper 0 of 1
listen grpc 127.0.0.1:0
pool stalls roster "/etc/stalls.json"
class view aim 1s deadline 5s repeat safe
class order aim 1s deadline 5s repeat keyed window 5s
quota small rate 6/s burst 12
plan stall quota small
customers header x-api-key plan stall
"""
LARK = r"""
start: (directive? comment? _NL)*
directive: WORD value* ("{" comment? _NL (directive? comment? _NL)* "}")?
value: WORD | STRING | "[" (WORD | STRING)* "]"
comment: COMMENT
COMMENT: /#[^\n]*/
STRING: /"(?:[^"\\]|\\.)*"/
WORD: /[^\s"{}\[\],;#\\]+/
_NL: /\n/
%ignore /[ \t]+/
"""


def median(call, turns=3):
    """Return the median CPU time of some calls, in seconds."""
    out = []
    for _ in range(turns):
        began = time.process_time()
        call()
        out.append(time.process_time() - began)
    return statistics.median(out)


def text_of(count):
    """Return settings with so many routes, some with parameters, prefixes, hosts and conditions."""
    rng, lines = random.Random(1), [HEAD]
    for number in range(count):
        kind = number % 10
        path = f"/v{number % 7}/area-{number}" + ("/:stall" if kind < 4 else "/*" if kind == 9 else "/list")
        condition = f" host h{number % 50}.example" if kind == 5 else " when [x-client=tablet]" if kind == 6 else ""
        lines.append(
            f"route {rng.choice(['GET', 'POST'])} {path} class {rng.choice(['view', 'order'])} pool stalls{condition}\n"
        )
    return "".join(lines)


def parsers(count=10_000):
    """Compare parsing and checking with the parsers of lark and crossplane, on files of similar size."""
    import crossplane
    import lark

    text = text_of(count)
    lines = text.count("\n")
    nginx = "".join(
        f"location /v{n % 7}/area-{n} {{ proxy_pass http://stalls; limit_req zone=small burst=12; }}\n"
        for n in range(count)
    )
    path = "/tmp/anisefront-bench.conf"
    with open(path, "w") as file:
        file.write(nginx)
    grammar = lark.Lark(LARK, parser="lalr")
    checked = checker.check(loader.load_text(text))
    assert checked.config is not None, checked.problems[:3]
    rows = {
        "anisefront, parse": median(lambda: parse(text)),
        "anisefront, parse and semantic check": median(lambda: checker.check(loader.load_text(text))),
        "lark, LALR, parse": median(lambda: grammar.parse(text)),
        "crossplane, parse": median(lambda: crossplane.parse(path, check_ctx=False, check_args=False)),
    }
    print(f"a file of {lines} lines ({len(text) >> 10} KiB; crossplane's {len(nginx) >> 10} KiB):")
    for name, seconds in rows.items():
        print(f"  {name:40} {seconds:6.2f} s CPU  {lines / seconds:9.0f} lines/s")
    return checked.config.routes


def lookups(routes):
    """Print the time to find a route by the index, by a linear scan, and by one regular expression of all routes."""
    rng = random.Random(2)
    requests = []
    for _ in range(2000):
        pattern = rng.choice(routes).pattern
        path = re.sub(r":\w+", lambda _: f"s{rng.randrange(99)}", pattern.path).replace("*", "x/y")
        requests.append(
            (pattern.methods[0], pattern.host if pattern.host != "*" else "shop.example", path, dict(pattern.when))
        )
    index = RouteIndex(routes)

    def by_index():
        """Look all requests up in the index."""
        for method, host, path, headers in requests:
            index.find(method, host, path, headers)

    def linear(method, host, path, headers):
        """Return the first route that matches, -1 if none does."""
        from anisefront.gateway.patterns import Request

        request = Request(method, host, path, tuple(headers.items()))
        return next((n for n, route in enumerate(routes) if matches(route.pattern, request)), -1)

    parts = [
        f"(?P<r{n}>{re.escape(' '.join(r.pattern.methods))} "
        + re.sub(r":\w+", "[^/]+", re.escape(r.pattern.path).replace(r"\*", ".*").replace(r"\:", ":"))
        + "$)"
        for n, r in enumerate(routes)
    ]
    alternation = re.compile("|".join(parts))
    sample = requests[:60]
    seconds = {
        "the index": median(by_index) / len(requests),
        "a linear scan": median(lambda: [linear(*each) for each in sample]) / len(sample),
        "one regular expression of all": median(lambda: [alternation.match(f"{m} {p}") for m, _, p, _ in sample])
        / len(sample),
    }
    print(f"finding one of {len(routes)} routes, microseconds:")
    for name, each in seconds.items():
        print(f"  {name:40} {each * 1e6:10.2f}")


def agreement(total=1_000_000):
    """Compare the index with a linear search on so many random requests."""
    rng, done, mismatches = random.Random(3), 0, 0
    while done < total:
        segments = ["a", "b", ":x", ""]
        routes = []
        for _ in range(8):
            parts = [rng.choice(segments) for _ in range(rng.randrange(1, 4))]
            path = "/" + "/".join(f"{p}{n}" if p[:1] == ":" else p for n, p in enumerate(parts))
            when = ((rng.choice("qr"), rng.choice(["1", "*"])),) if rng.random() < 0.3 else ()
            routes.append(
                Route(
                    Pattern(
                        (rng.choice(["GET", "POST", "*"]),),
                        path + rng.choice(["", "", "/*", "/a*"]),
                        rng.choice(["*", "h.example", "*.example"]),
                        when,
                    ),
                    "view",
                    "p",
                )
            )
        index = RouteIndex(tuple(routes))
        order = [(number, method, routes[number].pattern) for number, method in index.in_order()]
        from anisefront.gateway.patterns import Request, host_matches, path_matches, when_matches

        for _ in range(2000):
            path = "/" + "/".join(rng.choice(["a", "b", "ab", ""]) for _ in range(rng.randrange(1, 5)))
            request = Request(
                rng.choice(["GET", "POST", "PUT"]),
                rng.choice(["h.example", "x.example", "o"]),
                path,
                tuple({rng.choice("qr"): rng.choice("12")}.items()),
            )
            headers = dict(request.headers)
            expected = next(
                (
                    n
                    for n, m, p in order
                    if m in ("*", request.method)
                    and host_matches(p.host, request.host)
                    and path_matches(p.path, request.path)
                    and when_matches(p.when, headers)
                ),
                -1,
            )
            mismatches += index.find(request.method, request.host, request.path, headers) != expected
            done += 1
    print(f"index and linear search on {done} random requests: {mismatches} differ")


def memory(routes):
    """Print the memory of compiled routes and keys, in MiB."""
    tracemalloc.start()
    index = RouteIndex(routes)
    first = tracemalloc.get_traced_memory()[0]
    keys = {f"key-{n:06}": Key(f"customer-{n:06}", "stall") for n in range(100_000)}
    router = Router(routes[:1], {"view": 1.0, "order": 1.0}, "x-api-key", keys)
    second = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"memory: {len(index.routes)} routes compiled {first / 2**20:.1f} MiB, "
        f"{len(router.keys)} customers {(second - first) / 2**20:.1f} MiB"
    )


def main():
    """Run all comparisons; the argument is the number of random requests."""
    routes = parsers()
    lookups(routes)
    memory(routes)
    agreement(int(sys.argv[1]) if len(sys.argv) > 1 else 1_000_000)


if __name__ == "__main__":
    main()
