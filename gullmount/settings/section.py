"""Reads and validates single fields of a decoded JSON object.

Fields are validated while the settings are decoded. Otherwise an invalid value would fail only when live
traffic first uses it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from gullmount.settings.errors import InvalidSettingsError, SettingsProblem
from gullmount.settings.units import MAX_NUMBER, seconds_from_microseconds

OptionValue = TypeVar("OptionValue")


class SettingsSection:
    """One JSON object of the settings, with its path for error messages.

    The methods that read a field raise InvalidSettingsError if it is missing or invalid.
    """

    def __init__(self, fields: Any, path: str = "") -> None:
        if not isinstance(fields, dict):
            raise InvalidSettingsError(path or "settings", SettingsProblem.NOT_AN_OBJECT)
        self.fields = fields
        self.path = path

    def path_of(self, name: str) -> str:
        """Return the path of a field of this section."""
        return f"{self.path}.{name}" if self.path else name

    def value(self, name: str) -> Any:
        """Return the value of the field; null counts as missing, as it does everywhere on the wire."""
        value = self.fields.get(name)
        if value is None:
            raise InvalidSettingsError(self.path_of(name), SettingsProblem.MISSING)
        return value

    def section(self, name: str) -> SettingsSection:
        """Return the section for the object in the field."""
        return SettingsSection(self.value(name), self.path_of(name))

    def values(self, name: str) -> list[Any]:
        """Return the list in the field, which must have at least one entry."""
        value = self.value(name)
        if not isinstance(value, list) or not value:
            raise InvalidSettingsError(self.path_of(name), SettingsProblem.NOT_A_NONEMPTY_LIST)
        return value

    def sections(self, name: str) -> list[SettingsSection]:
        """Return a section for each object of the list in the field."""
        path = self.path_of(name)
        return [SettingsSection(value, f"{path}[{index}]") for index, value in enumerate(self.values(name))]

    def numbers(self, name: str, minimum: float, maximum: float) -> list[float]:
        """Return the list of numbers in the field, each between `minimum` and `maximum`."""
        path = self.path_of(name)
        return [
            check_number(value, f"{path}[{index}]", minimum, maximum)
            for index, value in enumerate(self.values(name))
        ]

    def number(self, name: str, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> float:
        """Return the number in the field, as an int if it is written without a fraction."""
        return check_number(self.value(name), self.path_of(name), minimum, maximum)

    def whole_number(self, name: str, minimum: int = 0) -> int:
        """Return the whole number in the field, which may be written with a zero fraction such as 3.0."""
        value = self.number(name, minimum)
        if value != int(value):
            raise InvalidSettingsError(self.path_of(name), SettingsProblem.NOT_A_WHOLE_NUMBER)
        return int(value)

    def duration(self, name: str, minimum_microseconds: float = 0.0) -> float:
        """Return the duration in the field, converted from microseconds to seconds."""
        return seconds_from_microseconds(self.number(name, minimum_microseconds))

    def text(self, name: str) -> str:
        """Return the text in the field, which must not be empty."""
        value = self.value(name)
        if not isinstance(value, str) or not value:
            raise InvalidSettingsError(self.path_of(name), SettingsProblem.NOT_A_TEXT)
        return value

    def flag(self, name: str) -> bool:
        """Return the boolean in the field."""
        value = self.value(name)
        if not isinstance(value, bool):
            raise InvalidSettingsError(self.path_of(name), SettingsProblem.NOT_A_BOOLEAN)
        return value

    def choice(self, name: str, options: Mapping[str, OptionValue]) -> OptionValue:
        """Return the entry of `options` whose key is the text in the field."""
        option = self.text(name)
        if option not in options:
            raise InvalidSettingsError(self.path_of(name), SettingsProblem.UNKNOWN_VALUE, option)
        return options[option]


def check_number(value: Any, path: str, minimum: float, maximum: float) -> float:
    """Return the value if it is a number within the bounds. Raises InvalidSettingsError otherwise."""
    # In Python, bool is a subclass of int, but true is not a number in JSON.
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidSettingsError(path, SettingsProblem.NOT_A_NUMBER)
    if not minimum <= value <= maximum:
        raise InvalidSettingsError(path, SettingsProblem.OUT_OF_RANGE)
    return value
