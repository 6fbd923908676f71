"""Runs a case: its record, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110.0

#: Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit with its status.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets the record.
    play : callable
        Plays the case and returns whether the rule was broken.
    """
    record = Record(folder / "record.txt")
    record.say(f"trouble={int(TROUBLE)}")

    async def limited() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await play(record)

    try:
        is_broken = asyncio.run(limited())
    except BaseException as error:
        record.say(f"could not run: {error!r}")
        traceback.print_exc()
        status = COULD_NOT_RUN
    else:
        record.say("rule broken" if is_broken else "rule held")
        status = BROKEN if is_broken else HELD
    record.close()
    sys.stdout.flush()
    os._exit(status)
