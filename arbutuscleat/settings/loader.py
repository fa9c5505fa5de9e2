"""Reads settings files: JSON with comments, validated as a whole."""

from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import json5
import pydantic
from returns.result import Failure, Result, Success

MAX_SETTINGS_BYTES = 1024 * 1024
FOUND_SHOWN_CHARACTERS = 60
_SECRETS = ("shared_key", "endpoint_token", "operators.", "platform.token")

S = TypeVar("S", bound=pydantic.BaseModel)


@dataclass(frozen=True)
class SettingsError:
    """One fault of a settings file.

    Parameters
    ----------
    file : str
        The settings file.
    path : str
        The path of the key, such as ``control[0].port``.
    found : str
        What stands there; empty when the key is missing.
    allowed : str
        What is allowed.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault in one line."""
        found = f": found {self.found}" if self.found else ""
        return f"{self.file}: {self.path}{found}: {self.allowed}"


def load_settings(file: Path, model: type[S]) -> Result[S, list[SettingsError]]:
    """Return the validated settings in `file`, or every fault found."""
    try:
        text = file.read_bytes()[: MAX_SETTINGS_BYTES + 1].decode()
    except (OSError, UnicodeDecodeError) as exc:
        return Failure([SettingsError(str(file), "file", "", f"cannot be read: {exc}")])
    if len(text) > MAX_SETTINGS_BYTES:
        allowed = f"at most {MAX_SETTINGS_BYTES} bytes"
        return Failure([SettingsError(str(file), "file", "", allowed)])
    try:
        content = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        allowed = f"not JSON with comments: {exc}"
        return Failure([SettingsError(str(file), "file", "", allowed)])
    return parse_settings(content, str(file), model)


def parse_settings(
    content: object, file: str, model: type[S]
) -> Result[S, list[SettingsError]]:
    """Return the validated settings of parsed JSON, or every fault found."""
    try:
        return Success(model.model_validate(content))
    except pydantic.ValidationError as exc:
        return Failure([_settings_error(file, item) for item in exc.errors()])


def _settings_error(file: str, item) -> SettingsError:
    path = _path(item["loc"])
    found = "" if item["type"] == "missing" else repr(item["input"])
    if len(found) > FOUND_SHOWN_CHARACTERS:
        found = found[:FOUND_SHOWN_CHARACTERS] + "..."
    if _is_secret(path):
        found = "a value that is not shown"
    allowed = item["msg"].removeprefix("Value error, ")
    if not item["loc"]:
        return SettingsError(file, "settings", "", allowed)
    return SettingsError(file, path, found, allowed)


def _path(parts: tuple[str | int, ...]) -> str:
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".")


def _is_secret(path: str) -> bool:
    return path.startswith(_SECRETS)
