"""One form for each path: RFC 3986's normal form, in which routes are matched and requests sent on. Pure functions.

A path that is one route here and another at the worker is a way around a class, a quota or a refusal. What has a
normal form is brought to it (sections 5.2.4 and 6.2.2, and doubled slashes merged as proxies do); what two readers
could still read in two ways is refused. It decides nothing about requests.
"""

from __future__ import annotations

import re

_PLAIN = re.compile(r"(?:/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9_~!$&'()*+,=:@.-]*)*/?\Z")  # is its own normal form
_ENCODED = re.compile(r"%([0-9A-Fa-f]{2})")
_STRAY = re.compile(r"%(?![0-9A-Fa-f]{2})")
_AGAIN = re.compile(r"%25(?:2[eEfF]|5[cC]|25|[01][0-9A-Fa-f]|7[fF])")  # would be . / \ % or a control, decoded twice
_TO_ENCODE = re.compile(r"[\"<>^`{|}]")
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_BAD_QUERY = re.compile(r"[^\x21-\x7e]|#")


class Unclear(Exception):
    """A target that two readers could read in two ways; the text says what makes it so."""


def normal(target: str) -> str:
    """The normal form of a request target, its query as it came; raises `Unclear`."""
    path, mark, query = target.partition("?")
    if query and _BAD_QUERY.search(query):
        raise Unclear("the query has a space, a control, a fragment or a letter that is not ASCII")
    if _PLAIN.match(path) and path:
        return target
    return _normal_path(path) + mark + query


def _normal_path(path: str) -> str:
    if path[:1] != "/":
        raise Unclear("the path does not begin with /")
    if not path.isascii() or not path.isprintable() or " " in path:
        raise Unclear("the path has a space, a control or a letter that is not ASCII")
    if "\\" in path:
        raise Unclear("a backslash, which some read as a slash")
    if "#" in path:
        raise Unclear("a fragment in a request")
    if _STRAY.search(path):
        raise Unclear("a % that encodes nothing")
    if _AGAIN.search(path):
        raise Unclear("a letter encoded twice")
    path = _TO_ENCODE.sub(lambda found: f"%{ord(found[0]):02X}", path)
    if "%" in path:
        _check_octets(path)
        path = _ENCODED.sub(_letter, path)
    return _without_dots(path)


def _check_octets(path: str) -> None:
    octets = bytes(int(pair, 16) for pair in _ENCODED.findall(path))
    if any(octet < 0x20 or octet == 0x7F for octet in octets):
        raise Unclear("an encoded control")
    if b"/" in octets or b"\\" in octets:
        raise Unclear("an encoded slash or backslash")
    # Danger: what is no UTF-8 some decode loosely: C0 AE, overlong, was a dot to more than one server.
    for run in re.findall(r"(?:%[0-9A-Fa-f]{2})+", path):
        try:
            bytes.fromhex(run.replace("%", "")).decode()
        except UnicodeDecodeError as problem:
            raise Unclear("encoded octets that are no UTF-8") from problem


def _letter(found: re.Match[str]) -> str:
    letter = chr(int(found[1], 16))
    return letter if letter in _UNRESERVED else found[0].upper()


def _without_dots(path: str) -> str:
    given, out = path[1:].split("/"), []
    last = len(given) - 1
    for number, segment in enumerate(given):
        name, parameter, _ = segment.partition(";")
        if parameter and name in (".", ".."):
            raise Unclear("a dot segment with a parameter, which some read as a plain one")
        if segment == "..":
            if number and given[number - 1] == "":
                raise Unclear("a dot segment after a doubled slash: some merge the slashes first, some go up first")
            if not out:
                raise Unclear("a path that leads above the root")
            out.pop()
        if segment not in (".", "..", "") or segment == "" and number == last:
            out.append(segment)
        elif segment in (".", "..") and number == last:
            out.append("")
    return "/" + "/".join(out)
