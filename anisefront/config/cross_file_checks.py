"""Checks that span files, retained from one load to the next.

The index has duplicate keys, customers on two plans, the usage count of each name, and the routes that can contradict
each other. The cost of adding or removing a section depends on the size of that section only. The state is a function
of the sections that were added, valid or not. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Mapping, Sequence

from anisefront.config import route_checks
from anisefront.config.config_builder import UsageCounts
from anisefront.config.file_record import Section
from anisefront.config.lexer import Problem
from anisefront.gateway.key_table import KeyTable, KeyTableEdit
from anisefront.gateway.routes import Key

ENTRIES_PER_STEP = 32  # routes or keys that are added or removed in one step
COMPARED_KEYS_MULTIPLIER = 4  # of ENTRIES_PER_STEP: comparing a key is much cheaper than adding it

RoutePosition = tuple[Section, int]  # a route: its section, and its number in it
RoutePositions = dict[tuple[int, int], RoutePosition]  # several, by the section's id and the number


class CrossFileIndex:
    """The state of all checks that span files.

    Attributes:
        usage: Counts of the routes and keys that use each name.
        keys: All keys by their text.
        duplicate_keys: All keys of each text that occurs more than once.
        customers_on_two_plans: Customers with keys on more than one plan.
        problems: Problems of each overlap group of routes that has any.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self.usage = UsageCounts()
        self.keys = KeyTableEdit(KeyTable())
        self.duplicate_keys: dict[str, list[Key]] = {}
        self.customers_on_two_plans: set[str] = set()
        self.problems: dict[str, tuple[Problem, ...]] = {}
        self._plans: dict[str, str | dict[str, int]] = {}  # by customer: the plan of its one key, or keys by plan
        self._routes: dict[str, RoutePosition | RoutePositions] = {}  # by overlap group
        self._changed_groups: set[str] = set()  # overlap groups that have to be checked

    def update(self, removed: Sequence[Section], added: Sequence[Section]) -> Generator[None, None, None]:
        """Remove and add sections, in steps.

        An update that is abandoned halfway leaves the index inconsistent: it must be replaced by a new one.
        """
        yield from self._update_routes(removed, -1)
        yield from self._update_routes(added, 1)
        removed_keys: dict[str, list[Key]] = {}
        for count, (text, key) in enumerate(_keys_of(removed), 1):
            if count % (COMPARED_KEYS_MULTIPLIER * ENTRIES_PER_STEP) == 0:
                yield
            removed_keys.setdefault(text, []).append(key)
        for count, (text, key) in enumerate(_keys_of(added), 1):
            if count % ENTRIES_PER_STEP == 0:
                yield
            known = removed_keys.get(text)
            if known and key in known:  # unchanged, or moved to another section
                known.remove(key)
            else:
                self._update_key(text, key, 1)
        for count, (text, keys) in enumerate(removed_keys.items(), 1):
            if count % ENTRIES_PER_STEP == 0:
                yield
            for key in keys:
                self._update_key(text, key, -1)

    def _update_routes(self, sections: Iterable[Section], change: int) -> Generator[None, None, None]:
        count = 0
        for section in sections:
            for number, route in enumerate(section.routes):
                count += 1
                if count % ENTRIES_PER_STEP == 0:
                    yield
                self.usage.count_route(route, change)
                self._update_route(route_checks.overlap_group(route.pattern), section, number, change)

    def _update_route(self, group: str, section: Section, number: int, change: int) -> None:
        """Add or remove one route. A group of one route, by far the most common case, is stored without a dict."""
        self._changed_groups.add(group)
        known = self._routes.get(group)
        if known is None:
            self._routes[group] = (section, number)
            return
        if isinstance(known, tuple):
            if change < 0:
                del self._routes[group]
                return
            known = {(id(known[0]), known[1]): known}
            self._routes[group] = known
        if change > 0:
            known[id(section), number] = (section, number)
            return
        del known[id(section), number]
        if len(known) == 1:
            (self._routes[group],) = known.values()

    def _update_key(self, text: str, key: Key, change: int) -> None:
        self.usage.count_key(key, change)
        self._update_customer(key, change)
        if change > 0:
            self._add_key(text, key)
        else:
            self._remove_key(text, key)

    def _add_key(self, text: str, key: Key) -> None:
        known = self.keys.get(text)
        if known is None:
            self.keys.put(text, key)
        else:
            self.duplicate_keys.setdefault(text, [known]).append(key)

    def _remove_key(self, text: str, key: Key) -> None:
        remaining = self.duplicate_keys.get(text)
        if remaining is None:
            self.keys.put(text, None)
            return
        remaining.remove(key)
        self.keys.put(text, remaining[0])
        if len(remaining) == 1:
            del self.duplicate_keys[text]

    def _update_customer(self, key: Key, change: int) -> None:
        """Count a customer's keys by plan. A customer with one key, the most common case, is stored without a dict."""
        customer = key.customer
        known = self._plans.get(customer)
        if known is None:
            self._plans[customer] = key.plan
            return
        if isinstance(known, str):
            if change < 0:
                del self._plans[customer]
                return
            known = {known: 1}
            self._plans[customer] = known
        known[key.plan] = known.get(key.plan, 0) + change
        if not known[key.plan]:
            del known[key.plan]
        if len(known) > 1:
            self.customers_on_two_plans.add(customer)
            return
        self.customers_on_two_plans.discard(customer)
        plan = next(iter(known))
        if known[plan] == 1:
            self._plans[customer] = plan

    def check_changed_groups(self, order: Mapping[Section, int]) -> Generator[None, None, None]:
        """Check the overlap groups that changed, in steps; `order` has the rank of each section."""
        while self._changed_groups:
            group = next(iter(self._changed_groups))
            found = yield from self._check_group(group, order)
            yield
            if found:
                self.problems[group] = tuple(found)
            else:
                self.problems.pop(group, None)
            self._changed_groups.discard(group)

    def _check_group(self, group: str, order: Mapping[Section, int]) -> Generator[None, None, list[Problem]]:
        positions = self._routes.get(group)
        if not isinstance(positions, dict):
            return []
        ordered = sorted(positions.values(), key=lambda position: (order[position[0]], position[1]))
        lines: route_checks.RouteLines = []
        for count, (section, number) in enumerate(ordered):
            if count % ENTRIES_PER_STEP == ENTRIES_PER_STEP - 1:
                yield
            lines.append((section.route_lexeme(number), section.routes[number]))
        found = []
        for problem in route_checks.check_overlap_group(lines, set()):
            if problem is None:
                yield
            else:
                found.append(problem)
        return found


def _keys_of(sections: Iterable[Section]) -> Iterable[tuple[str, Key]]:
    for section in sections:
        yield from zip(section.key_texts, section.keys, strict=True)
