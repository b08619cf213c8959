"""Settings of one instance."""

from __future__ import annotations

import math
from typing import Annotated

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    StringConstraints,
    model_validator,
)

from borageworks.catalog.objects import ObjectId
from borageworks.wire.link_settings import LinkSettings

MEBIBYTE = 1_048_576
SecretHex = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{32,128}$")]


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Address(_Section):
    """IP address and port."""

    host: IPvAnyAddress
    port: int = Field(ge=0, le=65535, description="0 selects a free port")

    @property
    def host_port(self) -> tuple[str, int]:
        """Host and port as the socket API expects them."""
        return str(self.host), self.port


class StoreSettings(_Section):
    """Access to the platform's key-value store."""

    url: str = Field(pattern=r"^http://[^/]+$", description="etcd v3 JSON gateway")
    prefix: str = Field(default="/borageworks", pattern=r"^/[a-z0-9/_-]+$")
    timeout_s: float = Field(default=2.0, gt=0, le=60)


class MembershipSettings(_Section):
    """Failure detection between instances."""

    seeds: tuple[Address, ...] = ()
    probe_interval_s: float = Field(default=1.0, gt=0, le=60)
    probe_timeout_s: float = Field(default=0.3, gt=0, le=60)
    suspicion_s: float = Field(default=2.0, gt=0, le=60)
    indirect_probes: int = Field(default=2, ge=0, le=8)
    pause_limit_s: float = Field(
        default=3.0,
        gt=0,
        description="maximum process pause after which ownership is kept",
    )
    keys: tuple[SecretHex, ...] = Field(
        min_length=1,
        max_length=2,
        description="the first key signs messages; every key verifies them",
    )


class FairSettings(_Section):
    """Fair queueing of waiting requests."""

    exchange_interval_s: float = Field(default=4.0, gt=0, le=60)
    correction_gain: float = Field(default=0.3, gt=0, le=1)
    correction_trend_gain: float = Field(
        default=0.8, ge=0, le=1, description="weight of the newest drift estimate"
    )
    correction_limit: float = Field(
        default=0.25,
        gt=0,
        le=1,
        description="maximum correction as a fraction of one interval's service",
    )
    prompt_token_units: float = Field(default=0.1, gt=0)
    generated_token_units: float = Field(default=1.0, gt=0)


class WindowSettings(_Section):
    """Window of concurrent requests per endpoint."""

    token_interval_target_s: float = Field(default=0.058, gt=0)
    first_token_target_s: float = Field(default=1.9, gt=0)
    report_interval_s: float = Field(default=1.0, gt=0)
    report_stale_s: float = Field(default=5.0, gt=0)


class QueueSettings(_Section):
    """Limits of the queues of one instance."""

    per_organisation: int = Field(default=1000, ge=1)
    total: int = Field(default=10_000, ge=1)
    escalation_s: float = Field(default=0.01, gt=0)
    owners_per_pool: int = Field(default=16, ge=1)


class RetrySettings(_Section):
    """Retry attempts and retry budget."""

    attempts: int = Field(default=3, ge=1, le=10)
    ratio: float = Field(default=0.1, ge=0, le=1)
    burst: float = Field(default=10.0, ge=1)


class ClaimSettings(_Section):
    """At-most-once claims."""

    shards: int = Field(default=16, ge=1, le=1024)
    window_s: float = Field(default=3600.0, gt=0)
    clock_difference_s: float = Field(default=60.0, ge=0)
    segment_bytes: int = Field(default=16_384, ge=1024, le=1_000_000)
    segment_age_s: float = Field(default=60.0, gt=0)
    commit_interval_s: float = Field(default=0.1, ge=0)
    held_answer_bytes: int = Field(default=32 * 1_048_576, ge=0)


class ShutdownSettings(_Section):
    """Graceful shutdown."""

    balancer_lag_s: float = Field(default=5.0, ge=0)
    drain_timeout_s: float = Field(default=3600.0, gt=0)


class LimitSettings(_Section):
    """Limits of the process."""

    memory_mb: int | None = Field(
        default=None,
        ge=1,
        description="memory of the process in MiB",
    )

    @property
    def memory_bytes(self) -> float:
        """Memory in bytes, infinite without a limit."""
        return math.inf if self.memory_mb is None else self.memory_mb * MEBIBYTE


class Settings(_Section):
    """Settings of one instance."""

    instance: ObjectId
    domain: ObjectId
    listen: Address
    gossip: Address
    peer: Address
    store: StoreSettings
    membership: MembershipSettings
    fair: FairSettings = FairSettings()
    window: WindowSettings = WindowSettings()
    queue: QueueSettings = QueueSettings()
    retry: RetrySettings = RetrySettings()
    claims: ClaimSettings = ClaimSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    limits: LimitSettings = LimitSettings()
    log_file: str | None = Field(
        default=None, description="file for JSON lines; None writes to standard error"
    )

    @property
    def link(self) -> LinkSettings:
        """Settings of the links to other instances."""
        host, port = self.peer.host_port
        return LinkSettings(
            self.instance, self.domain, host, port, self.membership.keys
        )

    @model_validator(mode="after")
    def _check_claim_window(self) -> Settings:
        if self.claims.window_s <= 2 * self.claims.clock_difference_s:
            raise ValueError(
                "claims.window_s must be over twice claims.clock_difference_s"
            )
        return self
