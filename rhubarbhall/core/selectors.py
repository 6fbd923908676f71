"""Label selectors, which choose targets by their labels.

A selector is a comma-separated list of conditions on labels. A condition compares one
label with a value or a set of values, or requires that the label exists or not.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.errors import SelectorError

if TYPE_CHECKING:
    from rhubarbhall.types import Labels

_NAME = r"[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?"
_EQUALITY = re.compile(rf"^({_NAME})\s*(==|=|!=)\s*({_NAME})$")
_SET = re.compile(rf"^({_NAME})\s+(in|notin)\s*\(([^()]*)\)$")
_EXISTS = re.compile(rf"^(!?)\s*({_NAME})$")
_COMMA_OUTSIDE_PARENTHESES = re.compile(r",(?![^()]*\))")
_FORMS = "'name=value', 'name!=value', 'name in (a, b)', 'name notin (a, b)', 'name'"


@dataclass(frozen=True, slots=True)
class Requirement:
    """One condition on one label.

    Parameters
    ----------
    name : str
        Name of the label.
    values : frozenset of str, optional
        Values that match; none for any value.
    negated : bool
        Whether the condition is negated. A missing label satisfies a negated condition.
    """

    name: str
    values: frozenset[str] | None
    negated: bool

    def matches(self, labels: Labels) -> bool:
        """Return whether `labels` satisfy the condition."""
        value = labels.get(self.name)
        found = value is not None and (self.values is None or value in self.values)
        return found != self.negated


@dataclass(frozen=True, slots=True)
class Selector:
    """Conditions that must all hold; a selector without conditions matches everything.

    Parameters
    ----------
    text : str
        Text that the selector was parsed from.
    requirements : tuple of Requirement
        Conditions.

    Examples
    --------
    >>> parse_selector("app=board, region in (south, west)").matches(
    ...     {"app": "board", "region": "west"}
    ... )
    True
    """

    text: str
    requirements: tuple[Requirement, ...]

    def matches(self, labels: Labels) -> bool:
        """Return whether `labels` satisfy every condition."""
        return all(each.matches(labels) for each in self.requirements)


def _parse_requirement(text: str) -> Requirement:
    if found := _EQUALITY.match(text):
        name, operator, value = found.groups()
        return Requirement(name, frozenset([value]), operator == "!=")
    if found := _SET.match(text):
        name, operator, listed = found.groups()
        values = [value.strip() for value in listed.split(",")]
        if not all(re.fullmatch(_NAME, value) for value in values):
            raise SelectorError(f"invalid value in {text!r}; allowed forms: {_FORMS}")
        return Requirement(name, frozenset(values), operator == "notin")
    if found := _EXISTS.match(text):
        negation, name = found.groups()
        return Requirement(name, None, bool(negation))
    raise SelectorError(f"cannot parse {text!r}; allowed forms: {_FORMS}")


def parse_selector(text: str) -> Selector:
    """Parse the text of a selector.

    Parameters
    ----------
    text : str
        Comma-separated conditions; empty for a selector that matches everything.

    Returns
    -------
    Selector
        Parsed selector.

    Raises
    ------
    SelectorError
        If a condition has none of the allowed forms. The message quotes the condition
        and lists the forms.
    """
    parts = [part.strip() for part in _COMMA_OUTSIDE_PARENTHESES.split(text)]
    if parts == [""]:
        return Selector(text, ())
    return Selector(text, tuple(_parse_requirement(part) for part in parts))
