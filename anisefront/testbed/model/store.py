"""Storage of simulated runs in one SQLite file, so that an interrupted study loses only the runs in progress."""

from __future__ import annotations

import json
import sqlite3
import time
import zlib
from dataclasses import asdict
from typing import Any

from anisefront.testbed.model.study import OptionSpec, RunFigures, Study, Traffic

_SCHEMA = """
create table if not exists studies (id text primary key, made_s real, kind text, spec text);
create table if not exists runs (study text, option integer, seed integer, figures blob,
                                 primary key (study, option, seed));
"""


class Store:
    """Database of studies and their runs; a context manager. A missing file is created; `:memory:` stores nothing."""

    def __init__(self, path: str) -> None:
        """Open the database, with its tables created if necessary."""
        self._database = sqlite3.connect(path, timeout=30.0)
        self._database.executescript(_SCHEMA)

    def __enter__(self) -> Store:
        """Return the store."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the database."""
        self._database.close()

    def add_study(self, study: Study, kind: str) -> str:
        """Store a study unless it is there already, and return its identifier."""
        study_id = study.identity()
        self._database.execute(
            "insert or ignore into studies values (?, ?, ?, ?)",
            (study_id, time.time(), kind, json.dumps(asdict(study))),
        )
        self._database.commit()
        return study_id

    def load_runs(self, study_id: str) -> dict[tuple[int, int], RunFigures]:
        """Return all runs of a study, by option and seed."""
        rows = self._database.execute("select option, seed, figures from runs where study = ?", (study_id,))
        return {(option, seed): json.loads(zlib.decompress(data)) for option, seed, data in rows}

    def save_run(self, study_id: str, option: int, seed: int, figures: RunFigures) -> None:
        """Store and commit one run, so that a crash loses only the runs in progress."""
        data = zlib.compress(json.dumps(figures, sort_keys=True, separators=(",", ":")).encode(), 6)
        self._database.execute("insert or replace into runs values (?, ?, ?, ?)", (study_id, option, seed, data))
        self._database.commit()

    def list_studies(self) -> list[dict[str, Any]]:
        """Return all studies, the newest first."""
        rows = self._database.execute(
            "select id, made_s, kind, spec, (select count(*) from runs where study = id) "
            "from studies order by made_s desc"
        ).fetchall()
        return [
            {
                "id": study_id,
                "made_s": created_s,
                "kind": kind,
                "runs": runs,
                "options": [option["name"] for option in json.loads(spec)["options"]],
            }
            for study_id, created_s, kind, spec, runs in rows
        ]

    def find_study(self, prefix: str) -> Study:
        """Return the study whose identifier starts with `prefix`; raises `KeyError` unless exactly one does."""
        rows = self._database.execute(
            "select spec from studies where id like ?", (prefix.replace("%", "") + "%",)
        ).fetchall()
        if len(rows) != 1:
            raise KeyError(prefix)
        spec = json.loads(rows[0][0])
        options = tuple(
            OptionSpec(**{key: tuple(value) if isinstance(value, list) else value for key, value in option.items()})
            for option in spec["options"]
        )
        traffic = Traffic(
            **{key: tuple(value) if isinstance(value, list) else value for key, value in spec["traffic"].items()}
        )
        return Study(options, traffic, spec["series"])
