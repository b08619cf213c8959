"""Faults that a soak injects."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks_emulator.platform.store import StoreFault
from borageworks_emulator.soak.conditions import Conditions


@dataclass(frozen=True, slots=True)
class KillGateways:
    """Processes are killed and restarted."""

    gateways: tuple[str, ...]
    down_s: float


@dataclass(frozen=True, slots=True)
class StopGateways:
    """Processes receive SIGTERM and are restarted after they have exited."""

    gateways: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PauseGateways:
    """Processes are suspended with SIGSTOP."""

    gateways: tuple[str, ...]
    for_s: float


@dataclass(frozen=True, slots=True)
class ReloadSettings:
    """The settings file is rewritten, with or without SIGHUP."""

    gateway: str
    signal: bool


@dataclass(frozen=True, slots=True)
class StepClock:
    """A process is killed and restarted with its wall clock stepped."""

    gateway: str
    step_s: float


@dataclass(frozen=True, slots=True)
class HarmPaths:
    """Paths between participants are delayed, or cut in one or both directions."""

    sources: tuple[str, ...]
    targets: tuple[str, ...]
    conditions: Conditions
    for_s: float


@dataclass(frozen=True, slots=True)
class ResetPaths:
    """Connections between participants are reset."""

    sources: tuple[str, ...]
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HarmStore:
    """The store misbehaves towards all clients."""

    fault: StoreFault
    for_s: float


@dataclass(frozen=True, slots=True)
class ForgetHistory:
    """The store compacts its history."""


@dataclass(frozen=True, slots=True)
class CrashEndpoint:
    """An endpoint crashes and returns as a new incarnation."""

    endpoint: int
    down_s: float


@dataclass(frozen=True, slots=True)
class DrainEndpoint:
    """An endpoint drains, leaves and returns as a new incarnation."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class TroubleEndpoint:
    """An endpoint misbehaves; `trouble` is a key of `MISBEHAVIOURS`."""

    endpoint: int
    trouble: str
    for_s: float


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """The operator writes a new configuration version."""


@dataclass(frozen=True, slots=True)
class EvacuateDomain:
    """The operator evacuates a failure domain for a while."""

    domain: str
    for_s: float


@dataclass(frozen=True, slots=True)
class RogueEntry:
    """Another writer puts malformed entries into the store."""


Fault = (
    KillGateways
    | StopGateways
    | PauseGateways
    | ReloadSettings
    | StepClock
    | HarmPaths
    | ResetPaths
    | HarmStore
    | ForgetHistory
    | CrashEndpoint
    | DrainEndpoint
    | TroubleEndpoint
    | ChangeConfiguration
    | EvacuateDomain
    | RogueEntry
)
