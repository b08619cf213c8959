"""Tests of the central baseline."""

import asyncio
from dataclasses import replace

import testtools

from borageworks_emulator.baseline import run_central
from borageworks_emulator.central import CentralPool, Slot
from borageworks_emulator.engine import EngineProfile
from borageworks_emulator.load import Flow, Trace
from borageworks_emulator.topology import PATITSA

SMALL_TOPOLOGY = replace(
    PATITSA,
    engines=2,
    services=1,
    engine_profile=EngineProfile(base_ms=1.0, per_slot_ms=0.1, batch_limit=4),
)


class CentralPoolTest(testtools.TestCase):
    def test_service_follows_shares_when_cost_is_known_after_the_run(self):
        """Guards against a baseline that is unfair or charges only estimated cost."""

        async def main():
            slot = Slot("url", 2)
            pool = CentralPool({"a": 3.0, "b": 1.0}, [slot], 1.0)
            received = {"a": 0.0, "b": 0.0}
            cost = {"a": 2.0, "b": 5.0}

            async def caller(name):
                while sum(received.values()) < 4000:
                    acquired, charged = await pool.acquire(name)
                    await asyncio.sleep(0)
                    if sum(received.values()) < 4000:
                        received[name] += cost[name]
                    pool.release(name, acquired, charged, cost[name])

            await asyncio.gather(*(caller(n) for n in "ab" for _ in range(5)))
            return received

        received = asyncio.run(main())
        # Fairness bound of section 6 of the design page, with D = 2 and these costs.
        bound = 3 * (2.0 / 3.0 + 5.0)
        self.assertTrue(abs(received["a"] / 3.0 - received["b"]) <= bound, received)

    def test_cancelled_waiter_loses_no_slot(self):
        """Guards against capacity that leaks when a caller disconnects."""

        async def main():
            slot = Slot("url", 1)
            pool = CentralPool({"a": 1.0}, [slot], 1.0)
            acquired, charged = await pool.acquire("a")
            waiting = [asyncio.create_task(pool.acquire("a")) for _ in range(2)]
            await asyncio.sleep(0)
            waiting[0].cancel()
            pool.release("a", acquired, charged, 1.0)
            waiting[1].cancel()
            await asyncio.gather(*waiting, return_exceptions=True)
            return slot.in_use

        self.assertEqual(0, asyncio.run(main()))


class CentralRunTest(testtools.TestCase):
    def test_every_response_arrives_and_no_key_runs_twice(self):
        """Guards against a baseline whose lost requests make it look worse."""
        flows = [
            Flow("org-0", "quotes", "models", workers=12, length_mean=4.0),
            Flow("org-3", "quotes", "models", workers=12, length_mean=4.0),
            Flow(
                "org-4",
                "orders",
                "desks",
                engine=False,
                rate=40.0,
                with_idempotency_key=True,
            ),
        ]
        run = asyncio.run(run_central(SMALL_TOPOLOGY, Trace(flows, 1, 1.0)))
        measures = run.measures
        self.assertEqual(len(run.load.calls), measures.answers)
        self.assertEqual((0, 0), (measures.wrong, measures.doubled))
        self.assertTrue(measures.fairness_gap["models"] > 0.0)
        for endpoint in run.endpoints:
            for record in endpoint.recording.runs:
                self.assertTrue(record.organisation in SMALL_TOPOLOGY.shares)
