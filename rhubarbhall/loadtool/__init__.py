"""Open-loop load generator for daemons: arrivals do not wait for answers.

A mix in TOML describes the phases of load and the kinds of requests.
"""

from __future__ import annotations

from rhubarbhall.loadtool.generator import LoadRun
from rhubarbhall.loadtool.mix import Mix, mix_from_toml

__all__ = ["LoadRun", "Mix", "mix_from_toml"]
