"""Open-loop load: arrivals do not wait for answers."""

from __future__ import annotations

from rhubarbhall.loadtool.generator import LoadRun
from rhubarbhall.loadtool.mix import Mix, mix_from_toml

__all__ = ["LoadRun", "Mix", "mix_from_toml"]
