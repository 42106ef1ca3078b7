"""What lines of all files have to do with each other, kept from one reading to the next: which keys stand twice, whose
customers are on two plans, how often a name is used, which routes are neighbours. A part more or less costs itself.

It follows from the parts that were taken in alone, whether they are right or not. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Mapping

from anisefront.config import route_checks
from anisefront.config.lexer import Problem
from anisefront.config.model import Uses
from anisefront.config.file_record import Section
from anisefront.gateway.routes import Key
from anisefront.gateway.key_table import KeyTable, KeyTableEdit

ENTRIES_PER_STEP = 32  # routes or keys that are taken in or out in one step
Spot = tuple[Section, int]  # a route: its part and its number there
Spots = dict[tuple[int, int], Spot]  # several, by the part's id and the number


class CrossFileIndex:
    """All that is kept."""

    def __init__(self) -> None:
        self.uses = Uses()
        self.keys = KeyTableEdit(KeyTable())
        self.doubled: dict[str, list[Key]] = {}  # all keys of a text that stands more than once
        self.split: set[str] = set()  # customers on two plans
        self._plans: dict[str, str | dict[str, int]] = {}  # of a customer: of its one key, or how many keys are on each
        self._spots: dict[str, Spot | Spots] = {}  # by neighbourhood
        self._touched: set[str] = set()  # neighbourhoods that were changed since they were looked through
        self.found: dict[str, tuple[Problem, ...]] = {}  # by neighbourhood, where anything was found

    def take(self, removed: Iterable[Section], added: Iterable[Section]) -> Generator[None, None, None]:
        """Take parts out and others in, in steps. Danger: a take that is left half done leaves nothing right."""
        count, gone = 0, dict[str, list[Key]]()
        for parts, by in ((removed, -1), (added, 1)):
            for part in parts:
                for at, route in enumerate(part.routes):
                    count += 1
                    if count % ENTRIES_PER_STEP == 0:
                        yield
                    self.uses.route(route, by)
                    self._spot(route_checks.overlap_group(route.pattern), part, at, by)
        for part in removed:
            for text, key in zip(part.texts, part.keys, strict=True):
                count += 1
                if count % (4 * ENTRIES_PER_STEP) == 0:
                    yield
                gone.setdefault(text, []).append(key)
        for part in added:
            for text, key in zip(part.texts, part.keys, strict=True):
                count += 1
                if count % ENTRIES_PER_STEP == 0:
                    yield
                if key in (known := gone.get(text, ())):  # one that stays, or goes elsewhere, costs nothing
                    known.remove(key)
                else:
                    self._key(text, key, 1)
        for text, keys in gone.items():
            count += 1
            if count % ENTRIES_PER_STEP == 0:
                yield
            for key in keys:
                self._key(text, key, -1)

    def _spot(self, name: str, part: Section, at: int, by: int) -> None:
        self._touched.add(name)
        known = self._spots.get(name)
        if known is None:
            self._spots[name] = (part, at)
            return
        if isinstance(known, tuple):
            if by < 0:
                del self._spots[name]
                return
            known = self._spots[name] = {(id(known[0]), known[1]): known}
        if by > 0:
            known[id(part), at] = (part, at)
            return
        del known[id(part), at]
        if len(known) == 1:
            (self._spots[name],) = known.values()

    def _key(self, text: str, key: Key, by: int) -> None:
        self.uses.key(key, by)
        self._customer(key, by)
        known = self.keys.get(text)
        if by > 0 and known is None:
            self.keys.put(text, key)
        elif by > 0:
            self.doubled.setdefault(text, [known]).append(key)
        elif text not in self.doubled:
            self.keys.put(text, None)
        else:
            left = self.doubled[text]
            left.remove(key)
            self.keys.put(text, left[0])
            if len(left) == 1:
                del self.doubled[text]

    def _customer(self, key: Key, by: int) -> None:
        known = self._plans.get(key.customer)
        if known is None:
            self._plans[key.customer] = key.plan
            return
        if isinstance(known, str):
            if by < 0:
                del self._plans[key.customer]
                return
            known = self._plans[key.customer] = {known: 1}
        known[key.plan] = known.get(key.plan, 0) + by
        if not known[key.plan]:
            del known[key.plan]
        if len(known) > 1:
            self.split.add(key.customer)
        else:
            self.split.discard(key.customer)
            if known == {(plan := next(iter(known))): 1}:
                self._plans[key.customer] = plan

    def look(self, ranks: Mapping[Section, int]) -> Generator[None, None, None]:
        """Look through the neighbourhoods that were touched. `ranks` has the order of all parts."""
        while self._touched:
            name = next(iter(self._touched))
            spots = self._spots.get(name)
            found: list[Problem] = []
            if isinstance(spots, dict):
                lines = []
                for count, (part, at) in enumerate(sorted(spots.values(), key=lambda spot: (ranks[spot[0]], spot[1]))):
                    if count % ENTRIES_PER_STEP == ENTRIES_PER_STEP - 1:
                        yield
                    lines.append((part.route_word(at), part.routes[at]))
                for each in route_checks.check_overlap_group(lines, set()):
                    if each is None:
                        yield
                    else:
                        found.append(each)
            yield
            if found:
                self.found[name] = tuple(found)
            else:
                self.found.pop(name, None)
            self._touched.discard(name)
