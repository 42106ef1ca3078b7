"""Normalization of request targets by RFC 3986. Routes match the normal form, and endpoints receive it.

A path that matches one route here and is interpreted differently by the endpoint would bypass a class, a quota or a
denial. Paths are normalized (sections 5.2.4 and 6.2.2; doubled slashes are merged, as proxies do); a path that two
parsers could still interpret differently is an error. Pure functions.
"""

from __future__ import annotations

import re

from anisefront.gateway.errors import AmbiguousPathError

_PLAIN = re.compile(r"(?:/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9_~!$&'()*+,=:@.-]*)*/?\Z")  # already in normal form
_ENCODED = re.compile(r"%([0-9A-Fa-f]{2})")
_STRAY_PERCENT = re.compile(r"%(?![0-9A-Fa-f]{2})")
_DOUBLE_ENCODED = re.compile(r"%25(?:2[eEfF]|5[cC]|25|[01][0-9A-Fa-f]|7[fF])")  # decoded twice: . / \ % or a control
_TO_ENCODE = re.compile(r"[\"<>^`{|}]")
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_INVALID_QUERY = re.compile(r"[^\x21-\x7e]|#")


def normalize_target(target: str) -> str:
    """Normalize the path of a request target; its query remains as it is.

    Raises:
        AmbiguousPathError: Two parsers could interpret the target differently.
    """
    path, mark, query = target.partition("?")
    if query and _INVALID_QUERY.search(query):
        raise AmbiguousPathError("the query has a space, a control, a fragment or a letter that is not ASCII")
    if _PLAIN.match(path) and path:
        return target
    return _normal_path(path) + mark + query


def _normal_path(path: str) -> str:
    if path[:1] != "/":
        raise AmbiguousPathError("the path does not begin with /")
    if not path.isascii() or not path.isprintable() or " " in path:
        raise AmbiguousPathError("the path has a space, a control or a letter that is not ASCII")
    if "\\" in path:
        raise AmbiguousPathError("a backslash, which some read as a slash")
    if "#" in path:
        raise AmbiguousPathError("a fragment in a request")
    if _STRAY_PERCENT.search(path):
        raise AmbiguousPathError("a % that encodes nothing")
    if _DOUBLE_ENCODED.search(path):
        raise AmbiguousPathError("a letter encoded twice")
    path = _TO_ENCODE.sub(lambda found: f"%{ord(found[0]):02X}", path)
    if "%" in path:
        _check_octets(path)
        path = _ENCODED.sub(_decode_unreserved, path)
    return _without_dots(path)


def _check_octets(path: str) -> None:
    octets = bytes(int(pair, 16) for pair in _ENCODED.findall(path))
    if any(octet < 0x20 or octet == 0x7F for octet in octets):
        raise AmbiguousPathError("an encoded control")
    if b"/" in octets or b"\\" in octets:
        raise AmbiguousPathError("an encoded slash or backslash")
    # Some servers decode invalid UTF-8 leniently: several have taken the overlong sequence C0 AE for a dot.
    for run in re.findall(r"(?:%[0-9A-Fa-f]{2})+", path):
        try:
            bytes.fromhex(run.replace("%", "")).decode()
        except UnicodeDecodeError as error:
            raise AmbiguousPathError("encoded octets that are no UTF-8") from error


def _decode_unreserved(found: re.Match[str]) -> str:
    letter = chr(int(found[1], 16))
    return letter if letter in _UNRESERVED else found[0].upper()


def _without_dots(path: str) -> str:
    segments = path[1:].split("/")
    normal: list[str] = []
    for number, segment in enumerate(segments):
        _check_dot_parameter(segment)
        if segment == "..":
            if number and segments[number - 1] == "":
                raise AmbiguousPathError(
                    "a dot segment after a doubled slash: some merge the slashes first, some go up first"
                )
            if not normal:
                raise AmbiguousPathError("a path that leads above the root")
            normal.pop()
        if segment not in (".", "..", ""):
            normal.append(segment)
        elif number == len(segments) - 1:  # the path ends with a slash
            normal.append("")
    return "/" + "/".join(normal)


def _check_dot_parameter(segment: str) -> None:
    name, parameter, _ = segment.partition(";")
    if parameter and name in (".", ".."):
        raise AmbiguousPathError("a dot segment with a parameter, which some read as a plain one")
