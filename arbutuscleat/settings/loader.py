"""Loads settings files: JSON with comments (JSON5), validated as a whole.

All errors of a file are reported at once, each with the path of its key.  Values under
the paths of secrets are not shown.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import json5
import pydantic
from returns.result import Failure, Result, Success

MAX_SETTINGS_BYTES = 1024 * 1024
MAX_SHOWN_CHARACTERS = 60
"""Length to which a rejected value is truncated in an error."""

# Prefixes of the paths whose values are secret.
_SECRET_PATHS = ("shared_key", "endpoint_token", "operators.", "platform.token")

S = TypeVar("S", bound=pydantic.BaseModel)


@dataclass(frozen=True)
class SettingsError:
    """An error in a settings file.

    Parameters
    ----------
    file : str
        The settings file.
    path : str
        Path of the key, such as ``control[0].port``.
    found : str
        The value of the key, truncated; empty if the key is missing.
    allowed : str
        What is allowed.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as one line."""
        found = f": found {self.found}" if self.found else ""
        return f"{self.file}: {self.path}{found}: {self.allowed}"


def load_settings(file: Path, model: type[S]) -> Result[S, list[SettingsError]]:
    """Load and validate a settings file.

    Parameters
    ----------
    file : Path
        The file, of at most `MAX_SETTINGS_BYTES` bytes.
    model : type of pydantic.BaseModel
        The model that validates its content.

    Returns
    -------
    Result of the model or list of SettingsError
        The settings, or all errors that were found.
    """
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
    """Validate parsed settings.

    Parameters
    ----------
    content : object
        The parsed JSON.
    file : str
        Name of the file in errors.
    model : type of pydantic.BaseModel
        The model that validates the content.

    Returns
    -------
    Result of the model or list of SettingsError
        The settings, or all errors that were found.
    """
    try:
        return Success(model.model_validate(content))
    except pydantic.ValidationError as exc:
        return Failure([_settings_error(file, item) for item in exc.errors()])


def _settings_error(file: str, item) -> SettingsError:
    path = _format_path(item["loc"])
    found = "" if item["type"] == "missing" else repr(item["input"])
    if len(found) > MAX_SHOWN_CHARACTERS:
        found = found[:MAX_SHOWN_CHARACTERS] + "..."
    if _is_secret(path):
        found = "a secret value that is not shown"
    allowed = item["msg"].removeprefix("Value error, ")
    if not item["loc"]:
        return SettingsError(file, "settings", "", allowed)
    return SettingsError(file, path, found, allowed)


def _format_path(parts: tuple[str | int, ...]) -> str:
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".")


def _is_secret(path: str) -> bool:
    return path.startswith(_SECRET_PATHS)
