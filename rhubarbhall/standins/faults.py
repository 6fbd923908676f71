"""Faults that operators and tests switch on in the stand-ins."""

from __future__ import annotations

from typing import Literal

import msgspec


class LogFaults(msgspec.Struct):
    """How the log service misbehaves.

    Parameters
    ----------
    mode : {"none", "down", "lose_answers"}
        "down" closes the connection of each request without an answer;
        "lose_answers" does so only for appends, after they have taken effect.
    delay_ms : int
        Delay before a request is handled and answered, in milliseconds.
    """

    mode: Literal["none", "down", "lose_answers"] = "none"
    delay_ms: int = 0


class TargetFaults(msgspec.Struct):
    """How a target misbehaves.

    Parameters
    ----------
    frozen : bool
        Whether the target neither answers requests nor finishes orders until the
        fault is switched off.
    shed : bool
        Whether every order is refused without being run.
    report : {"honest", "lag", "lie"}
        What the reports of load and health show. "honest" is the current state; "lag"
        is the load of some seconds ago; "lie" is always an idle and healthy target.
    cold_start_ms : int
        Time after a start in which orders take `cold_factor` times as long, in
        milliseconds.
    cold_factor : float
        Factor on the duration of orders during a cold start.
    """

    frozen: bool = False
    shed: bool = False
    report: Literal["honest", "lag", "lie"] = "honest"
    cold_start_ms: int = 0
    cold_factor: float = 5.0
