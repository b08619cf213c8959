"""All scenarios by name."""

from __future__ import annotations

from borageworks_emulator.scenario import Scenario
from borageworks_emulator.scenarios.crash_request import CRASH_REQUEST
from borageworks_emulator.scenarios.crossed_answers import CROSSED_ANSWERS
from borageworks_emulator.scenarios.cut_streams import CUT_STREAMS
from borageworks_emulator.scenarios.flood import FLOOD
from borageworks_emulator.scenarios.leaving_endpoint import LEAVING_ENDPOINT
from borageworks_emulator.scenarios.lost_replies import LOST_REPLIES
from borageworks_emulator.scenarios.pause_and_wake import PAUSE_AND_WAKE
from borageworks_emulator.scenarios.resend import RESEND
from borageworks_emulator.scenarios.restart import RESTART
from borageworks_emulator.scenarios.rolling_restart import ROLLING_RESTART
from borageworks_emulator.scenarios.slow_engine import SLOW_ENGINE
from borageworks_emulator.scenarios.steady import STEADY
from borageworks_emulator.scenarios.store_down_start import STORE_DOWN_START
from borageworks_emulator.scenarios.store_outage import STORE_OUTAGE
from borageworks_emulator.scenarios.ticket_race import TICKET_RACE
from borageworks_emulator.scenarios.uneven import UNEVEN

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        STEADY,
        FLOOD,
        UNEVEN,
        SLOW_ENGINE,
        RESTART,
        RESEND,
        STORE_OUTAGE,
        LOST_REPLIES,
        CRASH_REQUEST,
        CROSSED_ANSWERS,
        CUT_STREAMS,
        ROLLING_RESTART,
        LEAVING_ENDPOINT,
        TICKET_RACE,
        STORE_DOWN_START,
        PAUSE_AND_WAKE,
    )
}
