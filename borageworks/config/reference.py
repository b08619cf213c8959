"""Generates the reference pages in docs/ from the code.

Run `python -m borageworks.config.reference docs` after a change to settings, events or
errors. Explanations in a row are written in the page itself and are kept.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from borageworks.config.pages import Row, replace_table
from borageworks.config.schema import settings_schema
from borageworks.events import Event
from borageworks.exceptions import RefusalError, error_types

LIMIT_TEXTS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "above {}",
    "maximum": "at most {}",
    "exclusiveMaximum": "below {}",
    "minItems": "at least {} items",
    "maxItems": "at most {} items",
    "pattern": "`{}`",
}
REQUIRED_TEXT = "required"


def setting_rows() -> list[Row]:
    """Return key, type, default and limits of each setting."""
    schema = settings_schema()
    return list(_setting_rows(schema, schema["$defs"], ""))


def setting_texts() -> list[Row]:
    """Return key and description of each setting whose model has a description."""
    schema = settings_schema()
    return list(_setting_texts(schema, schema["$defs"], ""))


def event_rows() -> list[Row]:
    """Return number and name of each log event."""
    return [(str(event.number), event.message_type) for event in Event]


def error_rows() -> list[Row]:
    """Return code and HTTP status of each error; "-" if it is never sent to callers."""
    return [
        (error.code, str(error.status) if issubclass(error, RefusalError) else "-")
        for error in error_types()
    ]


@dataclass(frozen=True, slots=True)
class Page:
    """A page with a generated table."""

    name: str
    header: Row
    rows: Callable[[], list[Row]]
    texts: Callable[[], list[Row]] = list

    def render(self, page: str) -> str:
        """Return the page with its table regenerated."""
        return replace_table(page, self.header, self.rows(), self.texts())


PAGES = (
    Page(
        "settings.md",
        ("key", "type", "default", "limits", "meaning"),
        setting_rows,
        setting_texts,
    ),
    Page("events.md", ("number", "name", "meaning", "what to do"), event_rows),
    Page("errors.md", ("code", "status", "meaning", "what to do"), error_rows),
)


def write_pages(directory: Path) -> None:
    """Regenerate every page in a directory."""
    for page in PAGES:
        path = directory / page.name
        path.write_text(page.render(path.read_text()))


def _properties(
    schema: Mapping[str, Any], definitions: Mapping[str, Any], prefix: str
) -> Iterator[tuple[str, Mapping[str, Any], Mapping[str, Any] | None, bool]]:
    """Yield path, schema, nested schema and whether it is required, for each key."""
    for name, item in schema["properties"].items():
        path = f"{prefix}{name}"
        target = item
        if item.get("type") == "array":
            target = item["items"]
            path += "[]" if "$ref" in target else ""
        nested = None
        if "$ref" in target:
            nested = definitions[target["$ref"].rpartition("/")[2]]
        yield path, item, nested, name in schema.get("required", ())


def _setting_rows(
    schema: Mapping[str, Any], definitions: Mapping[str, Any], prefix: str
) -> Iterator[Row]:
    for path, item, nested, required in _properties(schema, definitions, prefix):
        if nested is not None:
            yield from _setting_rows(nested, definitions, f"{path}.")
            continue
        default = REQUIRED_TEXT if required else _default_text(item.get("default"))
        yield f"`{path}`", _type_text(item), default, _limits_text(item)


def _setting_texts(
    schema: Mapping[str, Any], definitions: Mapping[str, Any], prefix: str
) -> Iterator[Row]:
    for path, item, nested, _ in _properties(schema, definitions, prefix):
        if nested is not None:
            yield from _setting_texts(nested, definitions, f"{path}.")
        elif "description" in item:
            yield f"`{path}`", item["description"]


def _type_text(item: Mapping[str, Any]) -> str:
    if "anyOf" in item:
        return " or ".join(_type_text(option) for option in item["anyOf"])
    if item.get("format") == "ipvanyaddress":
        return "IP address"
    if item["type"] == "array":
        return f"list of {_type_text(item['items'])}"
    return str(item["type"])


def _limits_text(item: Mapping[str, Any]) -> str:
    limits = [
        text.format(item[name]) for name, text in LIMIT_TEXTS.items() if name in item
    ]
    if item.get("type") == "array":
        limits.append(_limits_text(item["items"]))
    return ", ".join(limit for limit in limits if limit)


def _default_text(value: object) -> str:
    return f"`{orjson.dumps(value).decode()}`"


if __name__ == "__main__":
    write_pages(Path(sys.argv[1]))
