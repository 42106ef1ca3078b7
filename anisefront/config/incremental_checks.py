"""Checks of all files of an incremental load.

They find the same problems as `checker.check`, without checking unchanged lines again.
"""

from __future__ import annotations

from collections.abc import Generator
from itertools import chain

from anisefront.config import checker, config_builder, semantic_checks
from anisefront.config.checker import MAX_PROBLEMS, NameTable, find_undefined_references
from anisefront.config.config_builder import Entry, EntryTable
from anisefront.config.cross_file_checks import CrossFileIndex
from anisefront.config.definitions import MAX_EXPANDED_LINES
from anisefront.config.file_record import Section
from anisefront.config.lexer import Lexeme, Problem, problem_at
from anisefront.config.load_attempt import LoadAttempt
from anisefront.config.load_steps import ends_step, find_positions
from anisefront.config.types import Config
from anisefront.gateway.routes import Route

MAX_PLAN_CONFLICT_KEYS = 2 * MAX_PROBLEMS  # keys whose lines are looked up; problems beyond them are not counted


class IncrementalChecks:
    """The checks of one load, in layers: single lines, names, references and, if these are valid, semantics.

    Attributes:
        problems: The problems found. Locations have the numbers of files in the record store.
        hidden_count: Number of problems that were counted, but not located.
    """

    def __init__(self, attempt: LoadAttempt, index: CrossFileIndex) -> None:
        """Prepare the checks of an attempt whose sections are in the index."""
        self.problems: list[Problem] = list(attempt.problems)
        self.hidden_count = 0
        self._attempt = attempt
        self._order = attempt.order
        self._index = index
        self._names = NameTable()
        self._names_incomplete = False  # a line could not be read and may define a missing name

    def run(self, routes: tuple[tuple[Route, ...], ...]) -> Generator[None, None, Config | None]:
        """Run all checks.

        Args:
            routes: The routes of each section that has any.

        Returns:
            The settings; None if an error was found.
        """
        for file in self._attempt.files:
            self.problems += file.record.problems
        if not checker.check_version(next((section.first_line for section in self._order), None), self.problems):
            return None
        self.problems += self._attempt.definitions.problems
        yield from self._check_expansion()
        yield from self._check_lines()
        yield from self._check_duplicate_keys()
        yield from self._check_references()
        self._check_missing()
        yield
        if checker.has_errors(self.problems):
            return None
        return (yield from self._check_semantics(routes))

    def _check_expansion(self) -> Generator[None, None, None]:
        undeclared: set[str] = set()
        lines = 0
        for number, section in enumerate(self._order):
            if ends_step(number):
                yield
            self.problems += section.expansion_problems
            for name, problem in section.undeclared:
                if name not in undeclared:
                    undeclared.add(name)
                    self.problems.append(problem)
            # A section that exceeds the limit by itself has reported that already.
            if lines < MAX_EXPANDED_LINES <= lines + section.line_count and section.line_count < MAX_EXPANDED_LINES:
                message = f"definitions come to more than {MAX_EXPANDED_LINES} lines"
                self.problems.append(problem_at(section.first_line.name, message, "", code="definition"))
            lines += section.line_count
        self._names_incomplete = checker.has_errors(self.problems)

    def _check_lines(self) -> Generator[None, None, None]:
        for number, section in enumerate(self._order):
            if ends_step(number):
                yield
            self.problems += section.problems
            self.problems += section.language_problems[1:] if number == 0 else section.language_problems
            self._names_incomplete = self._names_incomplete or section.has_unknown_directive
            for count, declared in enumerate(section.declared_names):
                if ends_step(count):
                    yield
                problem = self._names.add(declared)
                if problem is not None:
                    self.problems.append(problem)

    def _check_missing(self) -> None:
        if self._names_incomplete:
            return
        present = {"route": self._index.usage.classes, "key": self._index.keys}
        self.problems += self._names.missing({directive for directive, is_present in present.items() if is_present})

    def _check_duplicate_keys(self) -> Generator[None, None, None]:
        invalid_texts = (lexeme.text for section in self._order for _, lexeme in section.invalid_keys)
        texts = {*self._index.duplicate_keys, *invalid_texts}
        if not texts:
            return
        first_lexemes: dict[str, Lexeme | None] = {}  # None for a key that was not located
        reported = 0
        for section in self._order:
            occurrences = yield from self._occurrences(section, texts, reported < MAX_PROBLEMS)
            for count, (_, text, lexeme) in enumerate(occurrences):
                if ends_step(count):
                    yield
                if text not in first_lexemes:
                    first_lexemes[text] = lexeme
                    continue
                first = first_lexemes[text]
                if lexeme is None or first is None:
                    self.hidden_count += 1
                else:
                    reported += 1
                    self.problems.append(checker.duplicate_name_problem("key", lexeme, first))

    def _occurrences(
        self, section: Section, texts: set[str], with_lexemes: bool
    ) -> Generator[None, None, list[tuple[float, str, Lexeme | None]]]:
        """Return position, text and lexeme of the keys of a section that have one of the texts, in order."""
        positions = yield from find_positions(section.key_texts, texts.__contains__)
        looked_up = positions[:MAX_PROBLEMS] if with_lexemes else ()
        entries = yield from self._attempt.collect_entries(section, (), looked_up)
        # An invalid key precedes the valid key of its number.
        occurrences: list[tuple[float, str, Lexeme | None]] = [
            (number - 0.5, lexeme.text, lexeme) for number, lexeme in section.invalid_keys
        ]
        for position in positions:
            entry = entries.keys.get(position)
            lexeme = None if entry is None else entry.lexemes["key"]
            occurrences.append((position, section.key_texts[position], lexeme))
        return sorted(occurrences, key=lambda occurrence: occurrence[0])

    def _check_references(self) -> Generator[None, None, None]:
        """Report references to names that are not defined."""
        known = self._names.by_directive
        for number, section in enumerate(self._order):
            if ends_step(number):
                yield
            for entry in section.entries:
                self.problems += find_undefined_references(entry, known)
        usage = self._index.usage
        plans = {name for name in usage.plans if name not in known["plan"]}
        classes = {name for name in usage.classes if name not in known["class"]}
        pools = {name for name in usage.pools if name not in known["pool"]}
        expected = sum(usage.plans[name] for name in plans)
        expected += sum(usage.classes[name] for name in classes)
        expected += sum(usage.pools[name] for name in pools)
        if expected:
            reported = yield from self._check_undefined_names(plans, classes, pools)
            self.hidden_count += expected - reported

    def _check_undefined_names(self, plans: set[str], classes: set[str], pools: set[str]) -> Generator[None, None, int]:
        reported = 0
        for section in self._order:
            routes = yield from find_positions(
                section.routes, lambda route: route.class_name in classes or route.pool in pools
            )
            keys = yield from find_positions(section.keys, lambda key: key.plan in plans)
            entries = yield from self._attempt.collect_entries(section, routes[:MAX_PROBLEMS], keys[:MAX_PROBLEMS])
            for entry in chain(entries.routes.values(), entries.keys.values()):
                yield
                found = list(find_undefined_references(entry, self._names.by_directive))
                self.problems += found
                reported += len(found)
            if reported >= MAX_PROBLEMS:
                break
        return reported

    def _check_semantics(self, routes: tuple[tuple[Route, ...], ...]) -> Generator[None, None, Config | None]:
        """Return the settings; None if lines that are valid by themselves contradict each other."""
        index = self._index
        entries = EntryTable()
        for section in self._order:
            for entry in section.entries:
                entries.add(entry)
        yield
        second_pool = config_builder.find_second_pool(index.usage)
        if second_pool:
            yield from self._report_second_pool(second_pool)
        all_routes = tuple(chain.from_iterable(routes))
        config = config_builder.build_config(entries, index.usage, all_routes, index.keys.table(), self.problems)
        yield
        if config is None or second_pool:
            return None
        self.problems += semantic_checks.check_semantics(entries, config, index.usage)
        yield
        if index.customers_on_two_plans:
            yield from self._check_customer_plans()
        yield from index.check_changed_groups({section: number for number, section in enumerate(self._order)})
        self.problems += chain.from_iterable(index.problems.values())
        return None if checker.has_errors(self.problems) else config

    def _report_second_pool(self, name: str) -> Generator[None, None, None]:
        for section in self._order:
            positions = yield from find_positions(section.routes, lambda route: route.pool == name)
            if positions:
                entries = yield from self._attempt.collect_entries(section, positions[:1], ())
                lexeme = entries.routes[positions[0]].lexeme_of("pool")
                self.problems.append(config_builder.multiple_pools_problem(lexeme, self._index.usage))
                return

    def _check_customer_plans(self) -> Generator[None, None, None]:
        customers = self._index.customers_on_two_plans
        found: list[Entry] = []
        for section in self._order:
            positions = yield from find_positions(section.keys, lambda key: key.customer in customers)
            if len(found) < MAX_PLAN_CONFLICT_KEYS:
                entries = yield from self._attempt.collect_entries(section, (), positions[:MAX_PLAN_CONFLICT_KEYS])
                found += entries.keys.values()
        self.problems += semantic_checks.check_customer_plans(found)
