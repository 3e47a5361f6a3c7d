"""Reads a YAML file into a pydantic model; a fault names file, line, key and what was expected."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

MAX_FILE_BYTES = 1 << 20  # bytes a file may have: larger ones are no description but a mistake
MAX_NESTING_DEPTH = 40  # levels of nesting: ours need six; a parser without a bound can be made to overflow

Model = TypeVar("Model", bound=BaseModel)


class YamlModel(BaseModel):
    """Base of all that is described in YAML: unknown keys are faults, nothing changes after the start."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False, allow_inf_nan=False)


class InvalidFileError(Exception):
    """A file that cannot be used; the text is one line a fault: `file:line: key: what was expected`."""


def find_line(tree: Any, path: tuple[Any, ...]) -> int:
    """The line, from 1, of the deepest part of `path` that the file holds."""
    line = 1
    for part in path:
        if isinstance(tree, CommentedMap) and part in tree:
            line = tree.lc.key(part)[0] + 1
        elif isinstance(tree, CommentedSeq) and isinstance(part, int) and part < len(tree):
            line = tree.lc.item(part)[0] + 1
        elif not isinstance(tree, CommentedMap | CommentedSeq):
            break
        else:
            continue  # a tag of pydantic's, or a key that is missing: the line of what holds it
        tree = tree[part]
    return line


def to_plain_data(tree: Any, depth: int = 0) -> Any:
    """The same without the parser's own types; raises ValueError where it is nested too deep."""
    if depth > MAX_NESTING_DEPTH:
        raise ValueError(f"nested deeper than {MAX_NESTING_DEPTH} levels")
    if isinstance(tree, dict):
        return {str(key): to_plain_data(value, depth + 1) for key, value in tree.items()}
    if isinstance(tree, list):
        return [to_plain_data(value, depth + 1) for value in tree]
    return tree


def parse_yaml(text: str, name: str, model: type[Model]) -> Model:
    """Decode `text` into `model`; raises InvalidFileError. `name` stands for the file in what is said."""
    if text.count("[") + text.count("{") > MAX_FILE_BYTES // 16:
        raise InvalidFileError(f"{name}:1: too many brackets for a description")
    try:
        tree = YAML(typ="rt", pure=True).load(text)
        data = to_plain_data(tree)
    except MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise InvalidFileError(f"{name}:{line}: not YAML: {error.problem}") from None
    except RecursionError:
        raise InvalidFileError(f"{name}:1: nested too deep") from None
    except (
        YAMLError,
        ValueError,
        TypeError,
        AttributeError,
        KeyError,
        OverflowError,
        AssertionError,
        NotImplementedError,
        IndexError,
    ) as error:
        first_line = (str(error).splitlines() or ["unreadable"])[0]
        raise InvalidFileError(f"{name}:1: not YAML: {first_line}") from None
    if not isinstance(data, dict):
        raise InvalidFileError(f"{name}:1: expected a mapping of keys at the top")
    try:
        return model.model_validate(data)
    except ValidationError as error:
        raise InvalidFileError("\n".join(describe_errors(error, tree, name))) from None


def describe_errors(validation_error: ValidationError, tree: Any, name: str) -> list[str]:
    messages = []
    for detail in validation_error.errors(include_url=False):
        path = detail["loc"]
        key = ".".join(str(part) for part in path) or "(top)"
        expectation = detail["msg"].removeprefix("Value error, ")
        rejected_value = detail.get("input")
        is_scalar = isinstance(rejected_value, str | int | float | bool) and detail["type"] != "missing"
        shown = f", not {rejected_value!r}"[:80] if is_scalar else ""
        messages.append(f"{name}:{find_line(tree, path)}: {key}: {expectation}{shown}")
    return messages


def read_yaml(path: Path, model: type[Model]) -> Model:
    """Read and decode a file; raises InvalidFileError for whatever is wrong with it."""
    try:
        with path.open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise InvalidFileError(f"{path}:1: larger than {MAX_FILE_BYTES} bytes")
        text = raw.decode()
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidFileError(f"{path}:1: not UTF-8 at byte {error.start}") from None
    return parse_yaml(text, str(path), model)
