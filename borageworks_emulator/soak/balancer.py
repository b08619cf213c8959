"""Stand-in of the platform's balancer in front of the gateways."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping

import aiohttp

from borageworks.routing.rendezvous import rendezvous

CHECK_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2


class Balancer:
    """Picks the gateway of a new connection among those that say they are ready.

    Parameters
    ----------
    status_urls
        Address for readiness by gateway.
    rng
        Draws the salt of the hash.
    """

    def __init__(self, status_urls: Mapping[str, str], rng: random.Random) -> None:
        self._urls = status_urls
        self._salt = rng.random()
        self._misses = dict.fromkeys(status_urls, MISSES_UNTIL_OUT)

    def pick(self, address: str) -> str:
        """Return a caller's gateway, by a hash of its address.

        It is one of those in rotation, or of all if none is. An address keeps its
        gateway while that stays in rotation.
        """
        ready = [name for name, count in self._misses.items() if not self._out(count)]
        gateway = rendezvous(f"{self._salt}/{address}", ready or self._misses)
        assert gateway is not None
        return gateway

    async def run(self) -> None:
        """Check all gateways once a second until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CHECK_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._check(session, name) for name in self._urls),
                    asyncio.sleep(CHECK_INTERVAL_S),
                )

    async def _check(self, session: aiohttp.ClientSession, name: str) -> None:
        try:
            async with session.get(f"{self._urls[name]}/ready") as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        self._misses[name] = 0 if ready else self._misses[name] + 1

    @staticmethod
    def _out(misses: int) -> bool:
        return misses >= MISSES_UNTIL_OUT
