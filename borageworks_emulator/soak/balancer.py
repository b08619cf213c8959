"""Emulates the platform's load balancer in front of the gateways."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping

import aiohttp

from borageworks.routing.rendezvous import rendezvous

CHECK_INTERVAL_S = 1.0
FAILED_CHECKS_UNTIL_REMOVAL = 2


class Balancer:
    """Picks the gateway of a new connection among those that report readiness.

    Parameters
    ----------
    status_urls
        Base URL of the readiness check by gateway.
    rng
        Source of the hash's salt.
    """

    def __init__(self, status_urls: Mapping[str, str], rng: random.Random) -> None:
        self._urls = status_urls
        self._salt = rng.random()
        self._failed_checks = dict.fromkeys(status_urls, FAILED_CHECKS_UNTIL_REMOVAL)

    def pick(self, address: str) -> str:
        """Return a caller's gateway, chosen by a hash of its address.

        Only gateways in rotation are candidates, or all if none is. An address keeps
        its gateway while that stays in rotation.
        """
        in_rotation = [
            name
            for name, count in self._failed_checks.items()
            if not self._is_removed(count)
        ]
        gateway = rendezvous(
            f"{self._salt}/{address}", in_rotation or self._failed_checks
        )
        assert gateway is not None
        return gateway

    async def run(self) -> None:
        """Check all gateways once per interval until cancelled."""
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
        self._failed_checks[name] = 0 if ready else self._failed_checks[name] + 1

    @staticmethod
    def _is_removed(failed_checks: int) -> bool:
        return failed_checks >= FAILED_CHECKS_UNTIL_REMOVAL
