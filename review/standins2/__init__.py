"""Stand-ins for the scripts of the second review; they use the standard library."""

from __future__ import annotations
