"""Immutable tables of customers' keys. The next one shares with the one before what did not change.

Keys are distributed over a fixed number of dictionaries by hash, of which a change copies those that it touches.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from anisefront.gateway.routes import Key

SHARDS = 256  # of 22,000 keys each has 86


class KeyTable(Mapping[str, Key]):
    """Customers' keys by their text."""

    __slots__ = ("_count", "_shards")

    def __init__(self, shards: tuple[dict[str, Key], ...] = ({},) * SHARDS, count: int = 0) -> None:
        """Create a table of `count` keys; those of one hash are in one shard."""
        self._shards = shards
        self._count = count

    def __getitem__(self, text: str) -> Key:
        """Return the key of a text."""
        return self._shards[hash(text) % SHARDS][text]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the texts."""
        for shard in self._shards:
            yield from shard

    def __len__(self) -> int:
        """Return the number of keys."""
        return self._count

    def get(self, text: str, default: Key | None = None) -> Key | None:
        """Return the key of a text, or the default. Called for each request."""
        return self._shards[hash(text) % SHARDS].get(text, default)

    def differing(self, other: KeyTable) -> Iterator[str]:
        """Iterate over the texts whose keys differ between two tables; shards that both share cost nothing."""
        for first, second in zip(self._shards, other._shards, strict=True):
            if first is not second:
                yield from (text for text in {**first, **second} if first.get(text) != second.get(text))


class KeyTableEdit:
    """The next table of keys, in progress."""

    def __init__(self, before: KeyTable) -> None:
        """Start from a table, which remains unchanged."""
        self._shards = list(before._shards)
        self._count = len(before)
        self._copied: set[int] = set()

    def get(self, text: str) -> Key | None:
        """Return the key of a text, with the changes so far."""
        return self._shards[hash(text) % SHARDS].get(text)

    def put(self, text: str, key: Key | None) -> None:
        """Replace the key of a text; None removes it."""
        number = hash(text) % SHARDS
        if number not in self._copied:
            self._copied.add(number)
            self._shards[number] = self._shards[number].copy()
        shard = self._shards[number]
        if text in shard:
            self._count -= 1
        if key is None:
            shard.pop(text, None)
        else:
            shard[text] = key
            self._count += 1

    def table(self) -> KeyTable:
        """Return the table. Later changes are in no table that was returned before."""
        self._copied.clear()
        return KeyTable(tuple(self._shards), self._count)
