"""A request that crashes engines is tried again after each restart of a machine."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    CONTACT_S,
    TROUBLE,
    ZONES,
    Client,
    CouldNotRunError,
    CrashingEngine,
    Deployment,
    GatewayProcess,
    Reply,
    answer_stream,
    main,
)

DEADLINE_MS = 8000
SECONDS = 75
STEP_S = 0.5
# Crashes before the first kill.
CRASHES_BEFORE = 4
RESTART_DELAY_S = 1.0
# Kills of the machine that places requests, each after a further crash.
KILLS = 3
MAX_RETRIES = 3
# The request that crashes engines: the same path, caller and body each time.
POISON_PATH = "/quote/estimate"
POISON_BODY = b"a request that crashes engines"
POISON_PROMPT = (("5c1e07a2", 800), ("e4402b7d", 250))


def placing_gateway(deployment: Deployment) -> GatewayProcess:
    """Return the machine that placed the last request, by the machines' logs."""
    last = (0.0, "")
    for gateway in deployment.gateways:
        for line in gateway.log().splitlines():
            if '"placed_by"' in line:
                entry = json.loads(line)
                # Empty for requests that the machine placed itself.
                owner = entry["placed_by"] or gateway.name
                last = max(last, (float(entry["timestamp"]), owner))
    for gateway in deployment.gateways:
        if gateway.name == last[1]:
            return gateway
    raise CouldNotRunError("no machine has placed a request")


async def case(deployment: Deployment) -> bool:
    """Send the request again and again; kill the placing machine after crashes."""
    record = deployment.record
    engines = [
        CrashingEngine(
            f"e-{number}",
            record,
            answer_stream,
            ZONES[number % len(ZONES)],
            deployment.store,
            lambda run: run.body == POISON_BODY,
        )
        for number in range(5)
    ]
    for engine in engines:
        deployment.add(engine)
    await deployment.start()
    # Times at which a machine was killed or started.
    disrupted_at: dict[str, list[float]] = {
        gateway.name: [] for gateway in deployment.gateways
    }
    sound, poison = Client(record, "b"), Client(record, "c")
    sent_to: dict[str, str] = {}
    tasks: list[asyncio.Task[Reply]] = []
    kills = 0

    async def kill_and_start(gateway: GatewayProcess) -> None:
        record.line(f"{gateway.name} is killed")
        gateway.kill()
        disrupted_at[gateway.name].append(time.monotonic())
        await asyncio.sleep(RESTART_DELAY_S)
        gateway.start(bootstrap=False)
        disrupted_at[gateway.name].append(time.monotonic())

    async def send_poison(gateway: GatewayProcess) -> Reply:
        return await poison.send(
            gateway.front,
            POISON_PATH,
            DEADLINE_MS,
            body=POISON_BODY,
            prompt=POISON_PROMPT,
        )

    def crashes() -> list[tuple[float, str]]:
        return sorted(item for engine in engines for item in engine.crash_runs)

    restarts: list[asyncio.Task[None]] = []
    for step in range(int(SECONDS / STEP_S)):
        gateway = deployment.gateways[step % len(deployment.gateways)]
        attempt = f"c{step + 1:06x}"
        sent_to[attempt] = gateway.name
        tasks.append(asyncio.create_task(send_poison(gateway)))
        tasks += [
            asyncio.create_task(sound.send(item.front, "/quote/q", DEADLINE_MS))
            for item in deployment.gateways
        ]
        seen = crashes()
        if (
            TROUBLE
            and kills < KILLS
            and len(seen) >= CRASHES_BEFORE + kills
            and time.monotonic() - seen[-1][0] > 1.0
        ):
            kills += 1
            owner = placing_gateway(deployment)
            restarts.append(asyncio.create_task(kill_and_start(owner)))
        await asyncio.sleep(STEP_S)
    await asyncio.gather(*tasks, *restarts)
    third_at = crashes()[2][0]
    late = []
    for engine in engines:
        for at, attempt in engine.arrivals:
            sender = sent_to.get(attempt)
            if sender is None or at <= third_at + CONTACT_S:
                continue
            if not any(
                0.0 <= at - moment <= CONTACT_S for moment in disrupted_at[sender]
            ):
                late.append((at, attempt, sender))
                record.line(f"retry {attempt} reached {engine.id} from {sender}")
    record.line(
        f"{len(crashes())} crashes, {kills} kills; {len(late)} retries reached engines "
        f"from machines in touch later than contact_ms after the third crash"
    )
    return len(late) <= MAX_RETRIES


main(Path(__file__).resolve().parent, len(ZONES), case)
