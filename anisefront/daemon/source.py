"""Where a process has its settings from: one file with what it includes, read as often as it is asked. It puts nothing
in force."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping

from anisefront.config.reading import Outcome, Reading


class Source:
    """One file of settings for the life of a process; what did not change between two readings is kept."""

    def __init__(self, path: str, environment: Mapping[str, str], make: Callable[..., Reading] = Reading) -> None:
        self._make = lambda: make(path, environment)
        self._reading = self._make()

    def steps(self) -> Generator[None, None, Outcome]:
        """Read all files, in steps: what one moment's files come to, good or bad."""
        try:
            return (yield from self._reading.steps())
        except Exception:
            self._reading = self._make()  # Danger: what it keeps may be half of this reading, and wrong for the next
            raise
