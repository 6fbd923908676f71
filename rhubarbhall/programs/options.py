"""Command-line options of the programs, and how a program runs its command.

Each option made with `option` can also be set by an environment variable.
"""

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
    parse_region_or_domain,
)

#: Exit code for wrong flags, arguments or configuration.
EXIT_USAGE = 2
#: Start of the names of all environment variables.
ENVIRONMENT_PREFIX = "RHUBARB"


class ParsedType(click.ParamType):
    """A parameter type whose values a function of `rhubarbhall.settings` parses.

    Parameters
    ----------
    name : str
        Name of the type that the help shows.
    parse : callable
        Returns the value that a text stands for, or raises `ValueError`.
    """

    def __init__(self, name: str, parse: Callable[[str], Any]) -> None:
        self.name = name
        self._parse = parse

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Return the parsed value.

        A value that is not a string, such as a default, is returned unchanged.
        """
        if not isinstance(value, str):
            return value
        try:
            return self._parse(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS = ParsedType("ip:port", parse_address)
ADDRESSES = ParsedType("ip:port,...", parse_addresses)
PLACE = ParsedType("place", parse_region_or_domain)
LABELS = ParsedType("labels", parse_labels)
MESH_KEY = ParsedType("key", parse_mesh_key)


def run(command: click.Command) -> None:
    """Run a command and exit with the code that it returns.

    A wrong flag or argument prints one line, a wrong configuration one line for each
    problem; both exit with `EXIT_USAGE`. An aborted prompt exits with code 1.
    """
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
    """Return a `click` option that is also read from ``RHUBARB_<FLAG>``."""
    variable = flag.strip("-").split("/")[0].strip().upper().replace("-", "_")
    kwargs.setdefault("show_default", True)
    return click.option(
        flag, envvar=f"{ENVIRONMENT_PREFIX}_{variable}", show_envvar=True, **kwargs
    )
