"""The error that the settings decoders raise."""

from __future__ import annotations

from enum import StrEnum

from gullmount.errors import GullmountError

# An unknown value is cut to this length in the error message.
MAX_SHOWN_CHARACTERS = 20


class SettingsProblem(StrEnum):
    """What is wrong with one field."""

    MISSING = "missing"
    NOT_AN_OBJECT = "not an object"
    NOT_A_NONEMPTY_LIST = "not a list with entries"
    NOT_A_NUMBER = "not a number"
    NOT_A_WHOLE_NUMBER = "not a whole number"
    NOT_A_TEXT = "not a text"
    NOT_A_BOOLEAN = "not true or false"
    OUT_OF_RANGE = "out of range"
    UNKNOWN_VALUE = "no such value"


class InvalidSettingsError(GullmountError):
    """A field of the settings is invalid; the author of the settings has to correct it.

    Attributes:
        path: The path of the field in the settings, such as `Grades[1].ObjectiveUs`.
        problem: What is wrong with the field.
        value: The unknown text for `UNKNOWN_VALUE`, None for every other problem.
    """

    def __init__(self, path: str, problem: SettingsProblem, value: str | None = None) -> None:
        shown = "" if value is None else f": {value[:MAX_SHOWN_CHARACTERS]!r}"
        super().__init__(f"{path}: {problem}{shown}")
        self.path = path
        self.problem = problem
        self.value = value
