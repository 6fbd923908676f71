"""Registry of the policies that plug-ins supply."""

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
    """Chooses the member that a request without a key goes to."""

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
            Members that may be chosen.
        load_by_member : mapping
            Requests in flight over the member's share of slow start; members
            that are missing have none.
        rng : random.Random
            Source of randomness.
        """


class QueuePolicy(Protocol):
    """Orders the requests of one class that wait for a slot.

    `capacity` is the number that may wait; it may change at any time.
    """

    capacity: int

    def __len__(self) -> int:
        """Return the number of waiting requests."""

    def push(self, request: Request) -> Request | None:
        """Add a request; return the one that has to give way, if any."""

    def pop(self) -> Request:
        """Remove and return the next request."""

    def remove(self, request_id: int) -> Request | None:
        """Remove a request by its id, if it waits."""

    def __iter__(self):
        """Yield the waiting requests."""


class Registry(Generic[Policy]):
    """Policies of one kind by their names.

    Parameters
    ----------
    kind : str
        What the policies decide; used in errors.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._factory_by_name: dict[str, Callable[..., Policy]] = {}

    def register(
        self, name: str
    ) -> Callable[[Callable[..., Policy]], Callable[..., Policy]]:
        """Return a decorator that registers a class under `name`."""

        def decorate(factory: Callable[..., Policy]) -> Callable[..., Policy]:
            if name in self._factory_by_name:
                raise ValueError(f"{self._kind} policy {name!r} is registered already")
            self._factory_by_name[name] = factory
            return factory

        return decorate

    def create(self, name: str, *arguments: object) -> Policy:
        """Return a new policy.

        Raises
        ------
        ValueError
            If there is no policy of that name; the message lists all names.
        """
        if name not in self._factory_by_name:
            allowed = ", ".join(self.names())
            raise ValueError(f"no {self._kind} policy {name!r}; allowed: {allowed}")
        return self._factory_by_name[name](*arguments)

    def names(self) -> list[str]:
        """Return the names of all registered policies, sorted."""
        return sorted(self._factory_by_name)


balancing: Registry[BalancingPolicy] = Registry("balancing")
queueing: Registry[QueuePolicy] = Registry("queueing")
