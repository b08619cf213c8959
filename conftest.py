"""Marks exactly the tests that KNOWN-RED.txt lists as expected failures."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
# Entries for tests of this suite start with this prefix, followed by the test's id.
TEST_ENTRY_PREFIX = "pytest "


def known_red_tests(text: str) -> set[str]:
    """Return the ids of the tests in a list of known failures."""
    return {
        line.removeprefix(TEST_ENTRY_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(TEST_ENTRY_PREFIX)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as expected failures; reject entries that match no test."""
    listed = known_red_tests(KNOWN_RED.read_text())
    collected = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for name in sorted(listed):
        item = collected.get(name)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))
        elif name.partition("::")[0] in files and not _selects_single_tests(
            items, name
        ):
            raise pytest.UsageError(f"KNOWN-RED.txt lists {name}, which does not exist")


def _selects_single_tests(items: list[pytest.Item], name: str) -> bool:
    """Return whether the command line selects single tests of the entry's file."""
    file = name.partition("::")[0]
    return any(
        "::" in argument and file in argument for argument in _command_line_paths(items)
    )


def _command_line_paths(items: list[pytest.Item]) -> list[str]:
    return [str(argument) for argument in items[0].config.args] if items else []


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures, and those that passed in this run."""
    for outcome, label in (("xfailed", "known red"), ("xpassed", "known red, passed")):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(f"{label}: {report.nodeid}")
