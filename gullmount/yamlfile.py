"""Reads a YAML file into a pydantic model. Errors name the file, line, key and expected value."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

# A larger file is a mistake, not a configuration.
MAX_FILE_BYTES = 1 << 20
# The project's files need six levels. Without a limit, deep nesting can make a parser overflow.
MAX_NESTING_DEPTH = 40

Model = TypeVar("Model", bound=BaseModel)


class YamlModel(BaseModel):
    """Base of the models read from YAML. They reject unknown keys and are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False, allow_inf_nan=False)


class InvalidFileError(Exception):
    """A file is invalid; the message has one line `file:line: key: what was expected` for each error."""


def find_line(tree: Any, path: tuple[Any, ...]) -> int:
    """Return the line, counted from 1, of the deepest part of `path` that exists in the file."""
    line = 1
    for part in path:
        if isinstance(tree, CommentedMap) and part in tree:
            line = tree.lc.key(part)[0] + 1
        elif isinstance(tree, CommentedSeq) and isinstance(part, int) and part < len(tree):
            line = tree.lc.item(part)[0] + 1
        elif not isinstance(tree, CommentedMap | CommentedSeq):
            break
        else:
            # The part is a tag that pydantic adds or a missing key: use the line of the enclosing node.
            continue
        tree = tree[part]
    return line


def to_plain_data(tree: Any, depth: int = 0) -> Any:
    """Return `tree` without the parser's own types. Raises ValueError if it is nested too deeply."""
    if depth > MAX_NESTING_DEPTH:
        raise ValueError(f"nested deeper than {MAX_NESTING_DEPTH} levels")
    if isinstance(tree, dict):
        return {str(key): to_plain_data(value, depth + 1) for key, value in tree.items()}
    if isinstance(tree, list):
        return [to_plain_data(value, depth + 1) for value in tree]
    return tree


def parse_yaml(text: str, name: str, model: type[Model]) -> Model:
    """Decode `text` into `model`. Raises InvalidFileError; its message shows `name` as the file name."""
    if text.count("[") + text.count("{") > MAX_FILE_BYTES // 16:
        raise InvalidFileError(f"{name}:1: too many brackets for a configuration file")
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
    """Return one line `file:line: key: what was expected` for each error of a validation."""
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
    """Read a file and decode it into `model`. Raises InvalidFileError if it is unreadable or invalid."""
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            raise InvalidFileError(f"{path}:1: larger than {MAX_FILE_BYTES} bytes")
        text = content.decode()
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidFileError(f"{path}:1: not UTF-8 at byte {error.start}") from None
    return parse_yaml(text, str(path), model)
