"""Source of a process's settings: a file and the files that it includes, read on request."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping

from anisefront.config.incremental_loader import IncrementalLoader, LoadOutcome


class SettingsSource:
    """The settings file of a process; parts that did not change between two reads are cached."""

    def __init__(
        self,
        path: str,
        environment: Mapping[str, str],
        make_loader: Callable[..., IncrementalLoader] = IncrementalLoader,
    ) -> None:
        """Use the file at `path`; `make_loader` creates the loader with its cache."""
        self._make_loader = lambda: make_loader(path, environment)
        self._loader = self._make_loader()

    def steps(self) -> Generator[None, None, LoadOutcome]:
        """Read all files in small steps and return the outcome, whether valid or not."""
        try:
            return (yield from self._loader.steps())
        except Exception:
            # An interrupted read may leave the cache inconsistent, which would corrupt the next read.
            self._loader = self._make_loader()
            raise
