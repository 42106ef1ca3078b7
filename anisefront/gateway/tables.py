"""What routes and customers' keys are looked up in. A table is never changed: the next one is made beside it, in steps,
and shares all that lies off the changed paths, so that a change costs what it changes. Pure look-ups.

Routes stand in a trie by host and path segment, so that what a look-up costs grows with the request's path and not
with the number of routes. Which route comes first is said in gateway/patterns.py. Keys lie in a fixed number of
dictionaries by hash, of which a change copies those that it touches. Persistent maps of the package `immutables` were
weighed: they would share more, but a look-up stays one of a plain dictionary here, and this room needs the standard
library only.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Generator, Iterable, Iterator, Mapping, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from anisefront.gateway.routing import Key, Route

SHARDS = 256  # of keys: 22,000 come to 86 in each
ROUTES = 24  # that are put in or taken out in one step
Part = Sequence["Route"]  # routes that stand together and change together; told from others by identity


class Placed:
    """A route, and where it stands: in a part, at a number."""

    __slots__ = ("at", "part", "route", "when")

    def __init__(self, route: Route, part: Part, at: int) -> None:
        self.route, self.part, self.at, self.when = route, part, at, route.pattern.when


Here = tuple[tuple[str, tuple[Placed, ...]], ...]  # by method, each in the order of precedence


class _Node:
    """One place in a trie of path segments. `owner` is the edit that made it, which alone may change it."""

    __slots__ = ("here", "literals", "owner", "parameter", "tails")

    def __init__(self, owner: object, other: _Node | None = None) -> None:
        self.owner = owner
        self.literals: dict[str, _Node] | None = None
        self.parameter: _Node | None = None
        self.tails: tuple[tuple[str, Here], ...] = ()  # by prefix, longest first
        self.here: Here = ()
        if other is not None:
            self.literals = None if other.literals is None else other.literals.copy()
            self.parameter, self.tails, self.here = other.parameter, other.tails, other.here

    def child(self, segment: str) -> _Node | None:
        """The node below, by a pattern's segment."""
        if segment.startswith(":"):
            return self.parameter
        return None if self.literals is None else self.literals.get(segment)

    def put(self, segment: str, node: _Node) -> None:
        """Another node below; an empty one is left out."""
        if segment.startswith(":"):
            self.parameter = None if node.empty else node
        elif not node.empty:
            if self.literals is None:
                self.literals = {}
            self.literals[segment] = node
        elif self.literals is not None:
            self.literals.pop(segment, None)
            self.literals = self.literals or None

    @property
    def empty(self) -> bool:
        """Whether nothing is here or below."""
        return not (self.here or self.tails or self.literals or self.parameter)


class RouteTable:
    """Finds the first of the routes that match a request."""

    __slots__ = ("_any", "_exact", "_lengths", "_tails")

    def __init__(
        self,
        exact: dict[str, _Node] | None = None,
        tails: dict[str, _Node] | None = None,
        any_host: _Node | None = None,
    ) -> None:
        self._exact, self._tails, self._any = exact or {}, tails or {}, any_host  # tails: by the part after "*"
        self._lengths = sorted({len(tail) for tail in self._tails}, reverse=True)

    def edited(
        self, removed: Iterable[Part], added: Iterable[Part], ranks: Mapping[int, int]
    ) -> Generator[None, None, RouteTable]:
        """The table without some parts and with others. `ranks` has the order of all parts that are then in it, by
        their ids; those that stay must stay in their order among themselves."""
        owner, out = object(), RouteTable(self._exact.copy(), self._tails.copy(), self._any)
        changes = [(part, _without(part)) for part in removed] + [(part, None) for part in added]
        count = 0
        for part, leave in changes:
            left: set[tuple[str, str]] = set()
            for at, route in enumerate(part):
                count += 1
                if count % ROUTES == 0:
                    yield
                place = route.pattern.host, route.pattern.path
                if leave is None:
                    out._edit(route, owner, _with(Placed(route, part, at), ranks))
                elif place not in left:  # all of the part that stand there went at once
                    left.add(place)
                    out._edit(route, owner, leave)
        out._lengths = sorted({len(tail) for tail in out._tails}, reverse=True)
        return out

    def _edit(self, route: Route, owner: object, edit: Edit) -> None:
        host, path, methods = route.pattern.host, route.pattern.path, route.pattern.methods
        if host == "*":
            node = _updated(self._any, path, methods, owner, edit)
            self._any = None if node.empty else node
            return
        hosts, name = (self._tails, host[1:]) if host.startswith("*.") else (self._exact, host)
        node = hosts[name] = _updated(hosts.get(name), path, methods, owner, edit)
        if node.empty:
            del hosts[name]

    def find(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> Placed | None:
        """The route, None for none. A query and a port are left out; a host's case is no matter."""
        if "?" in path:
            path = path.partition("?")[0]
        if path[:1] != "/":
            return None
        given = path[1:].split("/")
        if self._exact or self._tails:
            host = host.lower()
            if host[-1:] != "]":  # not a bare IPv6 address
                host = host.rpartition(":")[0] or host if ":" in host else host
            node = self._exact.get(host)
            if node is not None and (found := _walk(node, given, 0, method, headers)) is not None:
                return found
            for length in self._lengths:
                if length < len(host):
                    node = self._tails.get(host[-length:])
                    if node is not None and (found := _walk(node, given, 0, method, headers)) is not None:
                        return found
        return None if self._any is None else _walk(self._any, given, 0, method, headers)


def _walk(node: _Node, given: list[str], at: int, method: str, headers: Mapping[str, str]) -> Placed | None:
    """Depth first in the order of precedence. Danger: paths are the clients' to write; the walk is bounded
    by the depth of the routes, and goes back only where a literal and a parameter stand side by side."""
    if at == len(given):
        return _pick(node.here, method, headers) if node.here else None
    segment = given[at]
    if node.literals is not None:
        child = node.literals.get(segment)
        if child is not None and (found := _walk(child, given, at + 1, method, headers)) is not None:
            return found
    if (
        node.parameter is not None
        and segment
        and (found := _walk(node.parameter, given, at + 1, method, headers)) is not None
    ):
        return found
    if node.tails:
        rest = "/".join(given[at:])
        for prefix, here in node.tails:
            if rest.startswith(prefix) and (found := _pick(here, method, headers)) is not None:
                return found
    return None


def _pick(here: Here, method: str, headers: Mapping[str, str]) -> Placed | None:
    for wanted in (method, "*"):
        for name, entries in here:
            if name == wanted:
                for placed in entries:
                    for header, value in placed.when:
                        if header not in headers or value not in ("*", headers[header]):
                            break
                    else:
                        return placed
    return None


Edit = Callable[[Here, tuple[str, ...]], Here]


def _updated(root: _Node | None, path: str, methods: tuple[str, ...], owner: object, edit: Edit) -> _Node:
    """The trie with one place edited: nodes on the path are copied once an edit, all others are shared."""
    segments = path[1:].split("/")
    tail = segments.pop()[:-1] if segments[-1].endswith("*") and not segments[-1].startswith(":") else None
    node = _own(root, owner)
    above = []
    for segment in segments:
        above.append(node)
        node = _own(node.child(segment), owner)
    if tail is None:
        node.here = edit(node.here, methods)
    else:
        tails = dict(node.tails)
        tails[tail] = edit(tails.get(tail, ()), methods)
        node.tails = tuple(
            sorted(((prefix, here) for prefix, here in tails.items() if here), key=lambda each: -len(each[0]))
        )
    for segment, parent in zip(reversed(segments), reversed(above), strict=True):
        parent.put(segment, node)
        node = parent
    return node


def _own(node: _Node | None, owner: object) -> _Node:
    return node if node is not None and node.owner is owner else _Node(owner, node)


def _with(placed: Placed, ranks: Mapping[int, int]) -> Edit:
    def key(each: Placed) -> tuple[int, int, int]:
        return -len(each.when), ranks[id(each.part)], each.at

    def edit(here: Here, methods: tuple[str, ...]) -> Here:
        out = dict(here)
        for method in methods:
            entries = out.get(method, ())
            at = bisect(entries, key(placed), key=key)
            out[method] = (*entries[:at], placed, *entries[at:])
        return tuple(out.items())

    return edit


def _without(part: Part) -> Edit:
    def edit(here: Here, methods: tuple[str, ...]) -> Here:
        left = ((method, tuple(each for each in entries if each.part is not part)) for method, entries in here)
        return tuple((method, entries) for method, entries in left if entries)

    return edit


def parts_changed(before: Sequence[Part], after: Sequence[Part]) -> tuple[list[Part], list[Part]]:
    """The parts to take out and those to put in, so that those that stay are in their order among themselves. A part
    that stands elsewhere is in both, but for as many as can stay. One pass over the list of parts."""
    known = {id(part): number for number, part in enumerate(before)}
    kept = [known[id(part)] for part in after if id(part) in known]
    staying = set(kept)
    if any(first > second for first, second in zip(kept, kept[1:], strict=False)):
        staying = _longest_rising(kept)
    return (
        [part for number, part in enumerate(before) if number not in staying],
        [part for part in after if known.get(id(part), -1) not in staying],
    )


def _longest_rising(numbers: list[int]) -> set[int]:
    """The most of the numbers, each there once, that rise from the first to the last."""
    ends: list[int] = []  # the least number that a run of each length ends with
    previous: dict[int, int | None] = {}
    for number in numbers:
        at = bisect(ends, number)
        previous[number] = ends[at - 1] if at else None
        ends[at : at + 1] = [number]
    out, last = set(), ends[-1] if ends else None
    while last is not None:
        out.add(last)
        last = previous[last]
    return out


class KeyTable(Mapping[str, "Key"]):
    """Customers' keys by their text."""

    __slots__ = ("_count", "_shards")

    def __init__(self, shards: tuple[dict[str, Key], ...] = ({},) * SHARDS, count: int = 0) -> None:
        self._shards, self._count = shards, count

    def __getitem__(self, text: str) -> Key:
        return self._shards[hash(text) % SHARDS][text]

    def __iter__(self) -> Iterator[str]:
        for shard in self._shards:
            yield from shard

    def __len__(self) -> int:
        return self._count

    def get(self, text: str, default: Key | None = None) -> Key | None:
        """The key, or the default: what each request looks up."""
        return self._shards[hash(text) % SHARDS].get(text, default)

    def differing(self, other: KeyTable) -> Iterator[str]:
        """The texts of which one table has another key than the other; shards that both share cost nothing."""
        for mine, theirs in zip(self._shards, other._shards, strict=True):
            if mine is not theirs:
                yield from (text for text in {**mine, **theirs} if mine.get(text) != theirs.get(text))


class KeyEdit:
    """The next table of keys, as it is made of one before."""

    def __init__(self, before: KeyTable) -> None:
        self._shards, self._count, self._own = list(before._shards), len(before), set[int]()

    def get(self, text: str) -> Key | None:
        """The key as it is so far."""
        return self._shards[hash(text) % SHARDS].get(text)

    def put(self, text: str, key: Key | None) -> None:
        """Another key for a text, None for none."""
        number = hash(text) % SHARDS
        if number not in self._own:
            self._own.add(number)
            self._shards[number] = self._shards[number].copy()
        shard = self._shards[number]
        self._count -= text in shard
        if key is None:
            shard.pop(text, None)
        else:
            shard[text] = key
            self._count += 1

    def table(self) -> KeyTable:
        """The table; what is changed afterwards is in no table made before."""
        self._own.clear()
        return KeyTable(tuple(self._shards), self._count)
