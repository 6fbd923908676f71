"""Faults that the stand-ins show on order."""

from __future__ import annotations

from typing import Literal

import msgspec


class LogFaults(msgspec.Struct):
    """How the log service misbehaves.

    Parameters
    ----------
    mode : {"none", "down", "lose_answers"}
        "down" closes each connection unanswered; "lose_answers" does so after
        an append has taken effect.
    delay_ms : int
        Delay of every answer.
    """

    mode: Literal["none", "down", "lose_answers"] = "none"
    delay_ms: int = 0


class TargetFaults(msgspec.Struct):
    """How a target misbehaves.

    Parameters
    ----------
    frozen : bool
        Nothing is answered or finished until it is lifted.
    shed : bool
        Every order is refused unrun.
    report : {"honest", "lag", "lie"}
        What its load and health reports show: the present, the state of some
        seconds ago, or always an idle and healthy target.
    cold_start_ms : int
        Time after a start in which orders take `cold_factor` times as long.
    """

    frozen: bool = False
    shed: bool = False
    report: Literal["honest", "lag", "lie"] = "honest"
    cold_start_ms: int = 0
    cold_factor: float = 5.0
