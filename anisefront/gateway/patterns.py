"""Route patterns: which requests they cover, their precedence, overlaps and example requests. Pure functions.

    host    exact "a.example"  >  "*.example", longer first  >  "*"
    path    segment by segment: literal  >  :parameter  >  a final prefix*, longer first
    method  named  >  "*"
    when    more header conditions first
    then    the earlier line

By this order, exactly one of the routes that match a request takes precedence.
"""

from __future__ import annotations

from dataclasses import dataclass

# Placeholders in examples for any method, any host, and any segment or value.
OTHER_METHOD = "X-OTHER"
OTHER_HOST = "other.invalid"
OTHER = "other~"


@dataclass(frozen=True, slots=True)
class Pattern:
    """The requests that a route covers.

    Attributes:
        methods: HTTP methods; "*" for any.
        path: Literal segments, ":parameter" segments, and a final prefix with "*".
        host: A host, "*.suffix" or "*".
        when: Conditions as pairs of header and value; the value "*" means any.
    """

    methods: tuple[str, ...]
    path: str
    host: str = "*"
    when: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """The part of a request that routes depend on. Names of headers are in lower case."""

    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()

    def __str__(self) -> str:
        """Return the request line with its headers."""
        more = "".join(f" {name}: {value}" for name, value in self.headers)
        return f"{self.method} {self.host}{self.path}{more}"


def segments(path: str) -> list[str]:
    """Split a path: "/a/b" has two segments, "/a/" has two of which the second is empty."""
    return path[1:].split("/")


def shape(path: str) -> tuple[tuple[int, int, str], ...]:
    """Return a path pattern without the names of its parameters, as a sort key of its precedence."""
    key = []
    for segment in segments(path):
        if segment.startswith(":"):
            key.append((1, 0, ""))
        elif segment.endswith("*"):
            key.append((2, -len(segment), segment))
        else:
            key.append((0, 0, segment))
    return tuple(key)


def host_rank(host: str) -> tuple[int, int]:
    """Return the precedence of a host pattern; lower values come first."""
    if host == "*":
        return 2, 0
    if host.startswith("*."):
        return 1, -len(host)
    return 0, 0


def rank(pattern: Pattern, method: str, order: int) -> tuple:
    """Return the precedence of a pattern for one of its methods; lower values come first."""
    return (host_rank(pattern.host), shape(pattern.path), method == "*", -len(pattern.when), order)


def host_matches(pattern: str, host: str) -> bool:
    """Return whether a pattern covers a host, which is in lower case and without port."""
    return (
        pattern in ("*", host)
        or pattern.startswith("*.")
        and host.endswith(pattern[1:])
        and len(host) > len(pattern) - 1
    )


def path_matches(pattern: str, path: str) -> bool:
    """Return whether a pattern covers a path without query. The reference against which the table is tested."""
    pattern_segments, path_segments = segments(pattern), segments(path)
    for index, segment in enumerate(pattern_segments):
        if segment.endswith("*") and index == len(pattern_segments) - 1 and not segment.startswith(":"):
            return index < len(path_segments) and "/".join(path_segments[index:]).startswith(segment[:-1])
        if index >= len(path_segments):
            return False
        if segment.startswith(":"):
            if not path_segments[index]:
                return False
        elif segment != path_segments[index]:
            return False
    return len(pattern_segments) == len(path_segments)


def when_matches(when: tuple[tuple[str, str], ...], headers: dict[str, str]) -> bool:
    """Return whether all header conditions hold."""
    return all(name in headers and value in ("*", headers[name]) for name, value in when)


def matches(pattern: Pattern, request: Request) -> bool:
    """Return whether a pattern covers a request. The reference against which the table is tested."""
    return (
        ("*" in pattern.methods or request.method in pattern.methods)
        and host_matches(pattern.host, request.host)
        and path_matches(pattern.path, request.path)
        and when_matches(pattern.when, dict(request.headers))
    )


def common_path(first: str, second: str) -> str | None:
    """Return the most general path that both patterns cover; None if there is none."""
    first_segments = segments(first)
    second_segments = segments(second)
    common_segments: list[str] = []
    index = 0
    while True:
        left = first_segments[index] if index < len(first_segments) else None
        right = second_segments[index] if index < len(second_segments) else None
        if left is None or right is None:
            return "/" + "/".join(common_segments) if left is right else None
        left_tail = _is_tail(left)
        right_tail = _is_tail(right)
        if left_tail or right_tail:
            return _with_tail(common_segments, first_segments[index:], second_segments[index:], left_tail, right_tail)
        segment = _common_segment(left, right)
        if segment is None:
            return None
        common_segments.append(segment)
        index += 1


def _is_tail(segment: str) -> bool:
    return segment.endswith("*") and not segment.startswith(":")


def _common_segment(left: str, right: str) -> str | None:
    if left.startswith(":"):
        left, right = right, left
    if left.startswith(":"):
        return OTHER
    if right.startswith(":"):
        return left or None
    return left if left == right else None


def _with_tail(
    common_segments: list[str], first_rest: list[str], second_rest: list[str], left_tail: bool, right_tail: bool
) -> str | None:
    if left_tail and right_tail:
        long, short = (
            (first_rest[0], second_rest[0])
            if len(first_rest[0]) >= len(second_rest[0])
            else (second_rest[0], first_rest[0])
        )
        return "/" + "/".join([*common_segments, long[:-1] + OTHER]) if long[:-1].startswith(short[:-1]) else None
    tail, rest = (first_rest[0], second_rest) if left_tail else (second_rest[0], first_rest)
    first = rest[0]
    if first.startswith(":"):
        first = tail[:-1] + OTHER
    elif not first.startswith(tail[:-1]):
        return None
    further = [
        OTHER if segment.startswith(":") else segment[:-1] + OTHER if _is_tail(segment) else segment
        for segment in rest[1:]
    ]
    return "/" + "/".join([*common_segments, first, *further])


def common_host(first: str, second: str) -> str | None:
    """Return a host that both patterns cover, or None."""
    if host_rank(first) > host_rank(second):
        first, second = second, first
    if first == "*":
        return OTHER_HOST
    example = "other-host" + first[1:] if first.startswith("*.") else first
    return example if host_matches(second, example) else None


def common(first: Pattern, second: Pattern) -> list[Request]:
    """Return the most general requests that both patterns cover, one for each method; none if they don't overlap."""
    path = common_path(first.path, second.path)
    host = common_host(first.host, second.host)
    headers = _common_headers(first.when, second.when)
    if path is None or host is None or headers is None:
        return []
    return [Request(method, host, path, headers) for method in sorted(_common_methods(first.methods, second.methods))]


def _common_headers(
    first: tuple[tuple[str, str], ...], second: tuple[tuple[str, str], ...]
) -> tuple[tuple[str, str], ...] | None:
    headers = dict(first)
    for name, value in second:
        known = headers.get(name, "*")
        if known != "*" and value not in ("*", known):
            return None
        headers[name] = value if known == "*" else known
    return tuple(sorted((name, OTHER if value == "*" else value) for name, value in headers.items()))


def _common_methods(first: tuple[str, ...], second: tuple[str, ...]) -> set[str]:
    if "*" in first and "*" in second:
        return {*first, *second} - {"*"} | {OTHER_METHOD}
    if "*" in first:
        return set(second)
    if "*" in second:
        return set(first)
    return set(first) & set(second)


def examples(pattern: Pattern) -> list[Request]:
    """Return the most general requests that a pattern covers, one for each of its methods."""
    return common(pattern, pattern)


def covers(first: Pattern, second: Pattern) -> bool:
    """Return whether the first pattern covers every request of the second, and both have the same host and shape.

    Otherwise the more specific of the two takes precedence anyway.
    """
    return (
        first.host == second.host
        and shape(first.path) == shape(second.path)
        and ("*" in first.methods or "*" not in second.methods and set(second.methods) <= set(first.methods))
        and all(
            (name, value) in second.when or value == "*" and name in dict(second.when) for name, value in first.when
        )
    )
