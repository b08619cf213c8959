"""An engine's answer without end stops a machine from serving all its clients."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    DESK,
    ENGINES,
    TROUBLE,
    ZONES,
    Balancer,
    Client,
    Deployment,
    Engine,
    Reply,
    Run,
    answer_plain,
    answer_stream,
    main,
)

TIMEOUT_S = 0.8
ANSWER_SLACK_S = 0.5
ORDER_DEADLINE_MS = 1500
GUIDE_DEADLINE_MS = 5000
SECONDS = 14
ORDERS_PER_S = 6
# The stream whose answer has no end: the first of zone 0 after this time.
FLOOD_AFTER_S = 3
BLOCK = b"\n" * 65_536
# The rule asks for more than half; fewer requests than this show nothing.
MIN_UNANSWERED = 8


class Flood:
    """Lets one answer of all be bytes without end."""

    def __init__(self) -> None:
        self.wanted = False
        self.sent_bytes = 0

    async def answer(self, run: Run) -> None:
        """Answer soundly, but once with blank lines until the caller closes."""
        if not self.wanted:
            await answer_stream(run)
            return
        self.wanted = False
        record = run.engine.record
        record.line(
            f"{run.engine.id} begins an answer without end to {run.head.attempt}"
        )
        run.writer.write(
            f"HTTP/1.1 200 OK\r\n{run.identity}"
            "Content-Type: text/event-stream\r\n\r\n".encode()
        )
        try:
            while True:
                run.writer.write(BLOCK)
                await run.writer.drain()
                self.sent_bytes += len(BLOCK)
        finally:
            record.line(f"its caller closed after {self.sent_bytes} bytes")


async def case(deployment: Deployment) -> bool:
    """Send orders to sound engines while one other answer has no end."""
    record = deployment.record
    flood = Flood()
    for number in range(3):
        engine = Engine(f"e-{number}", ENGINES, record, flood.answer, ZONES[number])
        deployment.add(engine)
    for number in range(2):
        zone = ZONES[number]
        deployment.add(Engine(f"d-{number}", DESK, record, answer_plain, zone, slots=6))
    await deployment.start()
    balancer = Balancer(deployment.gateways, record)
    asking = asyncio.create_task(balancer.run())
    client = Client(record)
    orders: list[asyncio.Task[Reply]] = []
    guides: list[asyncio.Task[Reply]] = []

    def send(zone: int, path: str, deadline_ms: int) -> asyncio.Task[Reply]:
        port = balancer.choose(zone).front
        return asyncio.create_task(client.send(port, path, deadline_ms))

    for second in range(SECONDS):
        for part in range(ORDERS_PER_S):
            if part == 0:
                if second == FLOOD_AFTER_S:
                    flood.wanted = TROUBLE
                guides += [
                    send(zone, "/guide/g", GUIDE_DEADLINE_MS)
                    for zone in range(len(ZONES))
                ]
            orders += [
                send(zone, "/book/b", ORDER_DEADLINE_MS) for zone in range(len(ZONES))
            ]
            await asyncio.sleep(1 / ORDERS_PER_S)
    replies = await asyncio.gather(*orders)
    await asyncio.gather(*guides)
    asking.cancel()
    unanswered = [reply for reply in replies if reply.taken_s > TIMEOUT_S]
    still = [
        reply for reply in unanswered if reply.taken_s > TIMEOUT_S + ANSWER_SLACK_S
    ]
    record.line(
        f"{len(replies)} orders to sound engines; {len(unanswered)} had no answer at "
        f"timeout_ms, {len(still)} of them none half a second later"
    )
    return len(still) < MIN_UNANSWERED or 2 * len(still) <= len(unanswered)


main(Path(__file__).resolve().parent, len(ZONES), case)
