"""Interfaces of the policies for balancing and queueing, and their registries.

Plug-ins implement a policy and register it under the name by which it is selected.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from rhubarbhall.core.requests import Request
    from rhubarbhall.types import MemberId

Policy = TypeVar("Policy")


class BalancingPolicy(Protocol):
    """Chooses the member to which a request without a key is sent."""

    def choose(
        self,
        members: Sequence[MemberId],
        load_by_member: Mapping[MemberId, float],
        rng: random.Random,
    ) -> MemberId:
        """Return one of `members`, which is not empty.

        Parameters
        ----------
        members : sequence of str
            Members to choose from.
        load_by_member : mapping
            Load of each member: its requests in flight plus one, divided by the
            share of traffic that the member takes, which grows to 1 during slow
            start. A member that is missing has no load.
        rng : random.Random
            Source of randomness.
        """


class QueuePolicy(Protocol):
    """Orders the requests of one class of work that wait for a slot.

    Attributes
    ----------
    capacity : int
        Most requests that may wait. It may be changed at any time.
    """

    capacity: int

    def __len__(self) -> int:
        """Return the number of waiting requests."""

    def push(self, request: Request) -> Request | None:
        """Add a request.

        Returns
        -------
        Request or None
            The request that is evicted since the queue is full, which may be
            `request` itself; None if there was room.
        """

    def pop(self) -> Request:
        """Remove and return the next request."""

    def remove(self, request_id: int) -> Request | None:
        """Remove and return the request with an id; return None if it does not wait."""

    def __iter__(self):
        """Yield the waiting requests."""


class Registry(Generic[Policy]):
    """Policies of one kind, by name.

    Parameters
    ----------
    kind : str
        Kind of the policies, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._factory_by_name: dict[str, Callable[..., Policy]] = {}

    def register(
        self, name: str
    ) -> Callable[[Callable[..., Policy]], Callable[..., Policy]]:
        """Return a decorator that registers a class under `name`.

        Raises
        ------
        ValueError
            If another class is registered under `name`; raised by the decorator.
        """

        def decorate(factory: Callable[..., Policy]) -> Callable[..., Policy]:
            if name in self._factory_by_name:
                raise ValueError(f"{self._kind} policy {name!r} is already registered")
            self._factory_by_name[name] = factory
            return factory

        return decorate

    def create(self, name: str, *arguments: object) -> Policy:
        """Return a new instance of a policy.

        Parameters
        ----------
        name : str
            Name under which the policy is registered.
        *arguments : object
            Arguments of its constructor.

        Raises
        ------
        ValueError
            If no policy is registered under `name`; the message lists all names.
        """
        if name not in self._factory_by_name:
            allowed = ", ".join(self.names())
            raise ValueError(f"no {self._kind} policy {name!r}; allowed: {allowed}")
        return self._factory_by_name[name](*arguments)

    def names(self) -> list[str]:
        """Return the names of all registered policies, sorted."""
        return sorted(self._factory_by_name)


#: Policies that choose the member for a request without a key.
balancing: Registry[BalancingPolicy] = Registry("balancing")
#: Policies that order the requests that wait for a target.
queueing: Registry[QueuePolicy] = Registry("queueing")
