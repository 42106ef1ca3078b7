"""Immutable tables of customers' keys with structural sharing: an edited table shares all unchanged shards.

Keys are distributed by hash over a fixed number of dictionaries (shards); an edit copies only the shards it changes.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from anisefront.gateway.routes import Key

SHARDS = 256  # 86 keys in each at 22,000 keys


class KeyTable(Mapping[str, Key]):
    """Customers' keys by their text."""

    __slots__ = ("_count", "_shards")

    def __init__(self, shards: tuple[dict[str, Key], ...] = ({},) * SHARDS, count: int = 0) -> None:
        """Create a table of `count` keys; a key's shard is the hash of its text modulo `SHARDS`."""
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
        """Iterate over the texts whose keys differ between two tables; shared shards are skipped."""
        for first, second in zip(self._shards, other._shards, strict=True):
            if first is not second:
                yield from (text for text in {**first, **second} if first.get(text) != second.get(text))


class KeyTableEdit:
    """Builder of an edited table of keys."""

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
        index = hash(text) % SHARDS
        if index not in self._copied:
            self._copied.add(index)
            self._shards[index] = self._shards[index].copy()
        shard = self._shards[index]
        if text in shard:
            self._count -= 1
        if key is None:
            shard.pop(text, None)
        else:
            shard[text] = key
            self._count += 1

    def table(self) -> KeyTable:
        """Return the table. Later changes do not affect tables that were returned before."""
        self._copied.clear()
        return KeyTable(tuple(self._shards), self._count)
