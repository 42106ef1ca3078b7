"""Runs that were played, in one SQLite file: listed, compared, and resumed after a kill at the cost of one run."""

from __future__ import annotations

import json
import sqlite3
import time
import zlib
from dataclasses import asdict
from typing import Any

from anisefront.testbed.model.study import Figures, OptionSpec, Study, Traffic

_TABLES = """
create table if not exists studies (id text primary key, made_s real, kind text, spec text);
create table if not exists runs (study text, option integer, seed integer, figures blob,
                                 primary key (study, option, seed));
"""


class Store:
    """Use as a context; `path` is made where it is not there. `:memory:` keeps nothing."""

    def __init__(self, path: str) -> None:
        self._base = sqlite3.connect(path, timeout=30.0)
        self._base.executescript(_TABLES)

    def __enter__(self) -> Store:
        return self

    def __exit__(self, *_: object) -> None:
        self._base.close()

    def begin(self, study: Study, kind: str) -> str:
        """The study's name; one that is known goes on."""
        name = study.identity()
        self._base.execute(
            "insert or ignore into studies values (?, ?, ?, ?)", (name, time.time(), kind, json.dumps(asdict(study)))
        )
        self._base.commit()
        return name

    def known(self, name: str) -> dict[tuple[int, int], Figures]:
        """All runs of a study, by option and seed."""
        rows = self._base.execute("select option, seed, figures from runs where study = ?", (name,))
        return {(option, seed): json.loads(zlib.decompress(data)) for option, seed, data in rows}

    def keep(self, name: str, option: int, seed: int, figures: Figures) -> None:
        """One run, at once and whole: a kill loses the runs under way and no more."""
        data = zlib.compress(json.dumps(figures, sort_keys=True, separators=(",", ":")).encode(), 6)
        self._base.execute("insert or replace into runs values (?, ?, ?, ?)", (name, option, seed, data))
        self._base.commit()

    def listed(self) -> list[dict[str, Any]]:
        """All studies, the newest first."""
        rows = self._base.execute(
            "select id, made_s, kind, spec, (select count(*) from runs where study = id) "
            "from studies order by made_s desc"
        ).fetchall()
        return [
            {
                "id": name,
                "made_s": made,
                "kind": kind,
                "runs": runs,
                "options": [option["name"] for option in json.loads(spec)["options"]],
            }
            for name, made, kind, spec, runs in rows
        ]

    def study(self, name: str) -> Study:
        """The study whose name begins so; `KeyError` where none or several do."""
        rows = self._base.execute("select spec from studies where id like ?", (name.replace("%", "") + "%",)).fetchall()
        if len(rows) != 1:
            raise KeyError(name)
        spec = json.loads(rows[0][0])
        options = tuple(
            OptionSpec(**{key: tuple(value) if isinstance(value, list) else value for key, value in option.items()})
            for option in spec["options"]
        )
        traffic = Traffic(
            **{key: tuple(value) if isinstance(value, list) else value for key, value in spec["traffic"].items()}
        )
        return Study(options, traffic, spec["series"])
