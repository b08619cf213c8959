"""JSON Schema of the settings."""

from __future__ import annotations

from typing import Any

import orjson

from borageworks.config.settings import Settings


def settings_schema() -> dict[str, Any]:
    """Return the JSON Schema that a settings file satisfies."""
    return Settings.model_json_schema()


def render_schema() -> str:
    """Return the schema as indented JSON text."""
    return orjson.dumps(settings_schema(), option=orjson.OPT_INDENT_2).decode()
