"""Flags and environment variables that the programs share."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click

from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.settings import (
    parse_address,
    parse_addresses,
    parse_labels,
    parse_mesh_key,
    parse_place,
)

EXIT_USAGE = 2
ENVIRONMENT_PREFIX = "RHUBARB"


class Checked(click.ParamType):
    """A value that a function of `rhubarbhall.settings` checks.

    Parameters
    ----------
    name : str
        What the value is; shown in the help.
    parse : callable
        Returns the checked value or raises `ValueError`.
    """

    def __init__(self, name: str, parse: Callable[[str], Any]) -> None:
        self.name = name
        self._parse = parse

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Return the checked value; values of another type are checked already."""
        if not isinstance(value, str):
            return value
        try:
            return self._parse(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS = Checked("ip:port", parse_address)
ADDRESSES = Checked("ip:port,...", parse_addresses)
PLACE = Checked("place", parse_place)
LABELS = Checked("labels", parse_labels)
MESH_KEY = Checked("key", parse_mesh_key)


def run(command: click.Command) -> None:
    """Run a command; a wrong setting gives one line and exit code 2."""
    try:
        code = command.main(standalone_mode=False, auto_envvar_prefix=None)
    except click.ClickException as error:
        message = " ".join(error.format_message().split())
        click.echo(f"{command.name}: {message}", err=True)
        sys.exit(EXIT_USAGE)
    except ConfigurationError as error:
        for problem in error.problems:
            click.echo(problem, err=True)
        sys.exit(EXIT_USAGE)
    except click.Abort:
        sys.exit(1)
    sys.exit(code if isinstance(code, int) else 0)


def option(flag: str, **kwargs: Any) -> Callable:
    """Return a `click` option that also reads ``RHUBARB_<FLAG>``."""
    name = flag.strip("-").split("/")[0].strip().upper().replace("-", "_")
    kwargs.setdefault("show_default", True)
    return click.option(
        flag, envvar=f"{ENVIRONMENT_PREFIX}_{name}", show_envvar=True, **kwargs
    )
