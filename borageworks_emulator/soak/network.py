"""Network paths between participants, each through its own loopback proxy."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from borageworks_emulator.soak.conditions import Conditions
from borageworks_emulator.soak.proxy import LoopbackProxy

Path = tuple[str, str]


class Network:
    """Network paths between named participants.

    A path leads from one participant to one port of another, so that faults can affect
    a single pair of participants.
    """

    def __init__(self) -> None:
        self._proxies: dict[tuple[str, str, str], LoopbackProxy] = {}

    async def open(
        self,
        source: str,
        target: str,
        port: str,
        address: Callable[[], tuple[str, int]],
    ) -> tuple[str, int]:
        """Open a path and return the address at which `source` reaches `target`."""
        proxy = LoopbackProxy(address)
        await proxy.start()
        self._proxies[source, target, port] = proxy
        return proxy.address

    def address(self, source: str, target: str, port: str) -> tuple[str, int] | None:
        """Return the address of a path, None if there is none."""
        proxy = self._proxies.get((source, target, port))
        return None if proxy is None else proxy.address

    def set_conditions(
        self, sources: set[str], targets: set[str], conditions: Conditions
    ) -> None:
        """Set the conditions of all paths from one set to the other."""
        for proxy in self._between(sources, targets):
            proxy.conditions = conditions

    def reset(self, sources: set[str], targets: set[str]) -> None:
        """Reset the connections of all paths from one set to the other."""
        for proxy in self._between(sources, targets):
            proxy.reset()

    async def close_ports(self, target: str) -> None:
        """Refuse connections to a participant and reset open ones."""
        for (_, path_target, _), proxy in self._proxies.items():
            if path_target == target:
                await proxy.stop()

    async def open_ports(self, target: str) -> None:
        """Accept connections to a participant again."""
        for (_, path_target, _), proxy in self._proxies.items():
            if path_target == target:
                await proxy.start()

    async def close(self) -> None:
        """Close all paths."""
        for proxy in self._proxies.values():
            await proxy.stop()

    def _between(self, sources: set[str], targets: set[str]) -> Iterator[LoopbackProxy]:
        for (source, target, _), proxy in self._proxies.items():
            if source in sources and target in targets:
                yield proxy
