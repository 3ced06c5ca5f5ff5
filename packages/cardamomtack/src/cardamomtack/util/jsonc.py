"""JSON with comments, with the line of each value."""

from __future__ import annotations

import json
import re
from typing import Any

from json_source_map import calculate

_TOKENS = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/|,(?=(?:\s|//[^\n]*|/\*.*?\*/)*[}\]])',
    re.DOTALL,
)


class JsonSyntaxError(ValueError):
    """Text is not JSON with comments.

    Parameters
    ----------
    message : str
        What is wrong.
    line : int
        Line, counted from 1.
    """

    def __init__(self, message: str, line: int) -> None:
        super().__init__(message)
        self.line = line


class ParsedJson:
    """A parsed document, which knows the line of each value.

    Parameters
    ----------
    value : Any
        The document.
    text : str
        Its text without comments, with every line where it was.
    repeated : list of str
        Member names that stand twice in one object.
    """

    __slots__ = ("_lines", "_text", "repeated", "value")

    def __init__(self, value: Any, text: str, repeated: list[str]) -> None:
        self.value = value
        self.repeated = repeated
        self._text = text
        self._lines: dict[str, int] | None = None

    def find_line(self, pointer: str) -> int:
        """Return the line of a pointer or of its nearest parent, counted from 1."""
        if self._lines is None:
            # Most documents have no fault, and their lines are never asked for.
            self._lines = {
                known: (entry.key_start or entry.value_start).line + 1
                for known, entry in calculate(self._text).items()
            }
        while pointer and pointer not in self._lines:
            pointer = pointer.rpartition("/")[0]
        return self._lines.get(pointer, 1)


def _blank_token(match: re.Match[str]) -> str:
    """Return spaces for a comment or trailing comma, and strings as they are."""
    token = match.group()
    if token.startswith('"'):
        return token
    return re.sub(r"[^\n]", " ", token)


def parse_jsonc(text: str) -> ParsedJson:
    """Parse JSON with comments and trailing commas.

    Raises
    ------
    JsonSyntaxError
        When the text is not JSON apart from its comments.
    """
    blanked = _TOKENS.sub(_blank_token, text)
    repeated: list[str] = []

    def collect_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        names = [name for name, _ in pairs]
        repeated.extend(sorted({name for name in names if names.count(name) > 1}))
        return members

    try:
        value = json.loads(blanked, object_pairs_hook=collect_members)
    except json.JSONDecodeError as error:
        raise JsonSyntaxError(error.msg, error.lineno) from error
    except RecursionError as error:
        raise JsonSyntaxError("document is nested too deeply", 1) from error
    return ParsedJson(value, blanked, repeated)
