"""Decisions of the requester of identity locks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LockHeld:
    """A request holds its lock."""

    request: int


@dataclass(frozen=True, slots=True)
class LockRefused:
    """Another request of the identity holds the lock or gets it; `informed` are instances that know of that request."""

    request: int
    informed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LockUnavailable:
    """No majority of the voters replied in time."""

    request: int


LockDecision = LockHeld | LockRefused | LockUnavailable
