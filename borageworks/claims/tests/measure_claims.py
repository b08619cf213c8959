"""Measure claim rate, latency and store calls; docs/claims.md lists the results.

Run as `python -m borageworks.claims.tests.measure_claims --help`.
"""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from bisect import bisect_right
from collections import Counter
from itertools import pairwise
from random import Random

import click

from borageworks.claims.content import ShardContent
from borageworks.claims.key import IdempotencyKey, body_hash
from borageworks.claims.record import ClaimRecord
from borageworks.claims.segment import Segment
from borageworks.claims.service import ClaimService
from borageworks.claims.shard import ClaimShard
from borageworks.claims.tests.test_service import make_settings
from borageworks.claims.timestamp import Timestamp
from borageworks.config.settings import ClaimSettings
from borageworks.metrics import Metrics
from borageworks.store.etcd import EtcdStore
from borageworks.store.values import StoredValue
from borageworks.timers import Timers
from borageworks.wire.messages import (
    Claim,
    ClaimFinish,
    ClaimOutcome,
    ClaimReply,
    ClaimState,
    Message,
)
from borageworks_emulator.store import EmulatedStore, StoreFaults

STORE_DELAY_S = 0.003
REQUEST_DURATION_S = 0.05
DESIGN_CLAIMS_PER_S = 420.0
WARM_UP_S = 3.0


async def measure(
    shards: int, interval: float, rate: float, instances: int, seconds: float, seed: int
) -> str:
    """Claim and finish requests at `rate` per second and return a report."""
    emulated = EmulatedStore(StoreFaults(delay_s=STORE_DELAY_S))
    await emulated.start()
    names = [f"domain-{n % 3}-router-{n}" for n in range(instances)]
    services: dict[str, ClaimService] = {}
    stores: list[EtcdStore] = []
    metrics = Metrics()
    loop = asyncio.get_running_loop()
    for name in names:
        settings = make_settings(name, emulated.url)
        store_settings = settings.store.model_copy(update={"timeout_s": 2.0})
        claims = settings.claims.model_copy(
            update={"shards": shards, "commit_interval_s": interval}
        )
        settings = settings.model_copy(
            update={"store": store_settings, "claims": claims}
        )
        stores.append(EtcdStore(settings.store, metrics))

        def send(to: str, message: Message, sender: str = name) -> None:
            assert isinstance(message, Claim | ClaimReply | ClaimFinish)
            loop.call_soon(services[to].receive, sender, message)

        services[name] = ClaimService(
            settings, stores[-1], Timers(), metrics, send, lambda: names
        )
    random = Random(seed)
    outcomes: Counter[ClaimOutcome] = Counter()
    latency = Metrics()

    async def claim_and_finish(number: int, instance: str, measured: bool) -> None:
        key = IdempotencyKey.parse(f"{int(time.time())}-{seed}-{number}")
        started = loop.time()
        reply = await services[instance].claim("o", key, body_hash(b"x"))
        if measured:
            outcomes[reply.outcome] += 1
            latency.observe("claim", loop.time() - started)
        await asyncio.sleep(REQUEST_DURATION_S)
        services[instance].finish("o", key, ClaimState.DONE)

    start = loop.time()
    next_start = start
    tasks: list[asyncio.Task[None]] = []
    calls_before: Counter[str] | None = None
    cpu_s = 0.0
    written_bytes = 0
    while next_start < start + WARM_UP_S + seconds:
        next_start += random.expovariate(rate)
        await asyncio.sleep(max(0.0, next_start - loop.time()))
        measured = next_start >= start + WARM_UP_S
        if measured and calls_before is None:
            calls_before, cpu_s = Counter(emulated.calls), time.process_time()
            written_bytes = emulated.bytes_written
        coroutine = claim_and_finish(len(tasks), random.choice(names), measured)
        tasks.append(asyncio.create_task(coroutine))
    written_bytes = emulated.bytes_written - written_bytes
    calls = emulated.calls - (calls_before or Counter())
    cpu_s = time.process_time() - cpu_s
    await asyncio.gather(*tasks)
    for service in services.values():
        await service.close()
    values = (await stores[0].range("claims/")).values
    segments = [
        value.value for key, value in values.items() if not key.endswith("head")
    ]
    records = sum(len(Segment.decode(segment).records) for segment in segments)
    size = sum(map(len, segments))
    for store in stores:
        await store.close()
    await emulated.stop()
    claimed = outcomes[ClaimOutcome.CLAIMED]
    return (
        f"shards {shards:2} interval {interval * 1000:3.0f} ms offered {rate:5.0f}/s: "
        f"claimed {claimed / seconds:6.1f}/s "
        f"of {sum(outcomes.values()) / seconds:6.1f}, "
        f"txn {calls['txn'] / seconds:6.1f}/s, range {calls['range']}, "
        f"written {written_bytes / seconds / 1000:.0f} KB/s, "
        f"conflicts {metrics.value('claim_conflicts')}, "
        f"p50 {latency.quantile('claim', 50) * 1000:.1f} ms, "
        f"p99 {latency.quantile('claim', 99) * 1000:.1f} ms, "
        f"cpu {cpu_s / seconds:.2f}, "
        f"{size / max(1, records):.1f} B/record in {len(segments)} segments"
    )


def make_segment(records: int, holders: int, random: Random) -> Segment:
    """Return a segment whose records have random holders."""
    records_by_key = {}
    for number in range(records):
        index = random.randrange(holders)
        holder = f"domain-{index % 9}-router-{index}~{index:08x}"
        key_hash = random.randbytes(16)
        records_by_key[key_hash] = ClaimRecord(
            key_hash, b"b" * 8, holder, number, ClaimState.DONE
        )
    return Segment(0.0, 0.0, records_by_key)


def record_bytes(records: int, holders: int, seed: int) -> float:
    """Return the mean encoded bytes per record in a segment with random holders."""
    return len(make_segment(records, holders, Random(seed)).encode()) / records


def measure_takeover(segments: int, records: int, seed: int) -> str:
    """Measure the time and memory that a writer needs to load a shard."""
    random = Random(seed)
    values = {"claims/0000/head": StoredValue(str(segments).encode(), 1)}
    for number in range(1, segments + 1):
        data = make_segment(records, 800, random).encode()
        values[f"claims/0000/{number:010d}"] = StoredValue(data, 1)
    shard = ClaimShard(0, ClaimSettings())
    content = ShardContent()
    times = [time.perf_counter()]
    times += [time.perf_counter() for _ in content.decode("claims/0000/", values)]
    shard.on_loaded(Timestamp(0.0, 0.0), content)
    times.append(time.perf_counter())
    longest = max(after - before for before, after in pairwise(times))
    del content, shard
    tracemalloc.start()
    shard = ClaimShard(0, ClaimSettings())
    content = ShardContent.decode_all("claims/0000/", values)
    shard.on_loaded(Timestamp(0.0, 0.0), content)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (
        f"takeover of {shard.record_count} records: "
        f"{(times[-1] - times[0]) * 1000:.0f} ms "
        f"in steps of at most {longest * 1000:.1f} ms, "
        f"{memory / shard.record_count:.0f} B/record in memory"
    )


def estimate_journal(shards: int, holders: int, seed: int) -> str:
    """Estimate the journal size at the design claim rate."""
    claim_settings = ClaimSettings()
    retention_s = claim_settings.window_s + 2 * claim_settings.clock_difference_s
    rate = DESIGN_CLAIMS_PER_S / shards
    records = bisect_right(
        range(1, int(rate * claim_settings.segment_age_s) + 1),
        claim_settings.segment_bytes,
        key=lambda count: round(count * record_bytes(count, holders, seed)),
    )
    size = record_bytes(records, holders, seed)
    segments = rate * retention_s / records
    return (
        f"{shards} shards, {holders} instances at {DESIGN_CLAIMS_PER_S:.0f}/s: "
        f"{records} records per segment of {records * size / 1000:.1f} KB, "
        f"{size:.1f} B/record, {segments:.0f} segments per shard, "
        f"{DESIGN_CLAIMS_PER_S * retention_s * size / 1e6:.1f} MB retained, "
        f"{DESIGN_CLAIMS_PER_S * 3600 * size / 1e6:.1f} MB per hour"
    )


@click.command()
@click.option("--shards", type=int, multiple=True, default=(64, 16, 8))
@click.option("--interval", type=float, multiple=True, default=(0.01, 0.1, 0.25))
@click.option("--rate", type=float, multiple=True, default=(50.0, 420.0))
@click.option("--instances", type=int, default=9)
@click.option("--seconds", type=float, default=10.0)
@click.option("--seed", type=int, default=1)
def main(
    shards: tuple[int, ...],
    interval: tuple[float, ...],
    rate: tuple[float, ...],
    instances: int,
    seconds: float,
    seed: int,
) -> None:
    """Measure every combination of the options in turn."""
    click.echo(measure_takeover(80, 304, seed))
    for holders in (9, 800):
        for count in shards:
            click.echo(estimate_journal(count, holders, seed))
    for count in shards:
        for interval_s in interval:
            for offered_rate in rate:
                coroutine = measure(
                    count, interval_s, offered_rate, instances, seconds, seed
                )
                click.echo(asyncio.run(coroutine))


if __name__ == "__main__":
    main()
