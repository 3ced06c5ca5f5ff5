"""Checks of documents against the committed JSON schemas."""

from __future__ import annotations

import json
from functools import cache
from importlib.resources import files
from typing import Any, cast

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from cardamomtack.helpers.findings import Finding, describe_unknown_name
from cardamomtack.util.jsonc import JsonSyntaxError, ParsedJson, parse_jsonc


@cache
def load_validator(name: str) -> Draft202012Validator:
    """Return the validator of a schema by its file name without ending."""
    text = files("cardamomtack.generated").joinpath(f"{name}.json").read_text()
    return Draft202012Validator(json.loads(text))


def join_pointer(parts: list[str | int]) -> str:
    """Return the JSON pointer of a path."""
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)


def _describe_error(error: ValidationError) -> list[tuple[str, str, str | None]]:
    """Return pointer, message and nearest name for each fault of one error."""
    path = list(error.absolute_path)
    if error.validator == "additionalProperties" and isinstance(error.instance, dict):
        schema: dict[str, Any] = cast("dict[str, Any]", error.schema)
        known = list(schema.get("properties", {}))
        unknown = [name for name in error.instance if name not in known]
        return [
            (join_pointer([*path, name]), *describe_unknown_name(name, "member", known))
            for name in unknown
        ]
    if error.validator == "enum":
        known = [str(value) for value in cast("list[Any]", error.validator_value)]
        message, nearest = describe_unknown_name(str(error.instance), "value", known)
        return [(join_pointer(path), message, nearest)]
    return [(join_pointer(path), error.message, None)]


def check_schema(parsed: ParsedJson, schema: str, source: str) -> list[Finding]:
    """Return every fault of a parsed document against a schema."""
    findings = [
        Finding(source, 1, "", f"member {name!r} stands twice in one object")
        for name in parsed.repeated
    ]
    for error in load_validator(schema).iter_errors(parsed.value):
        findings.extend(
            Finding(source, parsed.find_line(pointer), pointer, message, nearest)
            for pointer, message, nearest in _describe_error(error)
        )
    return sorted(findings, key=lambda finding: (finding.line, finding.pointer))


def parse_document(
    text: str, schema: str, source: str
) -> tuple[Any, ParsedJson | None, list[Finding]]:
    """Parse a text and check it against a schema.

    Returns
    -------
    tuple
        The document, its parsed form (None when the text can't be parsed) and all
        faults.
    """
    try:
        parsed = parse_jsonc(text)
    except JsonSyntaxError as error:
        return None, None, [Finding(source, error.line, "", str(error))]
    return parsed.value, parsed, check_schema(parsed, schema, source)
