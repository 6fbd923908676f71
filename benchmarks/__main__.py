"""Runs the benchmarks named on the command line, or all of them.

The tables of each benchmark are printed and written to ``results/<name>.md``.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

NAMES = (
    "caller_port",
    "path",
    "slopes",
    "control",
    "crest",
    "imbalance",
    "takeover",
    "key_table",
    "unowned",
    "log_lines",
    "crash_suspects",
)
RESULTS = Path(__file__).with_name("results")


def main() -> None:
    names = sys.argv[1:] or NAMES
    RESULTS.mkdir(exist_ok=True)
    for name in names:
        if name not in NAMES:
            sys.exit(f"unknown benchmark {name!r}; allowed: {', '.join(NAMES)}")
        tables = importlib.import_module(f"benchmarks.{name}").run()
        text = "\n".join(table.markdown() for table in tables)
        print(text, flush=True)
        (RESULTS / f"{name}.md").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
