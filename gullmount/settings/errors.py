"""The error of the settings' decoders."""

from __future__ import annotations

from enum import StrEnum

from gullmount.errors import GullmountError

MAX_SHOWN_CHARACTERS = 20  # of an unknown value


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
    """A field of the settings cannot be used; whoever wrote the settings has to change it.

    Attributes:
        path: The field's place in the settings, such as `Grades[1].ObjectiveUs`.
        problem: What is wrong with it.
        value: The text that is not among the known ones, for `UNKNOWN_VALUE`.
    """

    def __init__(self, path: str, problem: SettingsProblem, value: str | None = None) -> None:
        shown = "" if value is None else f": {value[:MAX_SHOWN_CHARACTERS]!r}"
        super().__init__(f"{path}: {problem}{shown}")
        self.path = path
        self.problem = problem
        self.value = value
