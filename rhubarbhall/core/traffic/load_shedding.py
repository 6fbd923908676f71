"""Where requests are refused for lack of room."""

from __future__ import annotations

import enum


class RefusalStage(enum.StrEnum):
    """Stage at which a request is refused as not run for lack of room.

    ENTRANCE : the daemon that would get it has just refused another one of its kind.
    WITHDRAWN : the router that sent it has withdrawn it, as its deadline is near.
    """

    ENTRANCE = "entrance"
    WITHDRAWN = "withdrawn"
