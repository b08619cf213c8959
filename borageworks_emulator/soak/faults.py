"""Faults that a soak injects."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks_emulator.platform.store import StoreFault
from borageworks_emulator.soak.conditions import Conditions


@dataclass(frozen=True, slots=True)
class KillGateways:
    """Processes are killed and started again."""

    gateways: tuple[str, ...]
    down_s: float


@dataclass(frozen=True, slots=True)
class StopGateways:
    """Processes get SIGTERM and are started again when they have ended."""

    gateways: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PauseGateways:
    """Processes are suspended."""

    gateways: tuple[str, ...]
    for_s: float


@dataclass(frozen=True, slots=True)
class ReloadSettings:
    """Settings are written again, with or without SIGHUP."""

    gateway: str
    signal: bool


@dataclass(frozen=True, slots=True)
class StepClock:
    """A process is killed and starts again with another time of day."""

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
    """The store misbehaves towards everyone."""

    fault: StoreFault
    for_s: float


@dataclass(frozen=True, slots=True)
class ForgetHistory:
    """The store discards its history."""


@dataclass(frozen=True, slots=True)
class CrashEndpoint:
    """An endpoint is gone without notice and comes back as a new one."""

    endpoint: int
    down_s: float


@dataclass(frozen=True, slots=True)
class DrainEndpoint:
    """An endpoint leaves as planned and comes back as a new one."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class TroubleEndpoint:
    """An endpoint treats requests badly; `trouble` names how."""

    endpoint: int
    trouble: str
    for_s: float


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """The operator writes a new version."""


@dataclass(frozen=True, slots=True)
class RogueEntry:
    """Another writer leaves bytes in the store that mean nothing."""


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
    | RogueEntry
)
